//! HTTP/1.1 over blocking sockets.

mod call;
mod message;

pub(crate) use call::{Reply, call, send_only};
pub(crate) use message::{Request, read_request, write_response};
