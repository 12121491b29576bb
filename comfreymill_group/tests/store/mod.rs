//! Tests of the store: recovery after corruption, crashes, a full disk and failed syncs.

mod corruption;
mod crashes;
pub(crate) mod faulty_disk;
mod folder;
mod identity;
pub(crate) mod model;
mod poison;
mod restore;
mod thread;
