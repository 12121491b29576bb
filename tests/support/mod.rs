//! Processes and stand-ins that the test modules share.

mod fixture;

pub(crate) use fixture::Fixture;
