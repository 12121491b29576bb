//! The entry process: callers, upstreams and operators talk to it.

pub mod link;
