//! Tests of the store: recovery after corruption, crashes, a full disk and failed syncs.

mod corruption;
mod crashes;
mod creation;
pub(crate) mod faulty_disk;
mod folder;
pub(crate) mod forgetful_disk;
mod identity;
pub(crate) mod model;
mod poison;
mod power_loss;
mod restore;
mod retire;
mod thread;
