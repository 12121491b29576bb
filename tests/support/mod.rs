//! Processes and stand-ins that the topics share.

mod fixture;

pub(crate) use fixture::Fixture;
