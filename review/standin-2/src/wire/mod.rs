//! HTTP messages over blocking sockets.

mod call;
mod message;

pub(crate) use call::{Reply, call};
pub(crate) use message::{Request, answer, read_request};
