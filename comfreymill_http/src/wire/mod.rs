//! Buffered socket with timeouts

mod error;
mod poll;
mod progress;
mod socket;

pub(crate) use error::WireError;
pub(crate) use poll::{now_or_never, yield_now};
pub(crate) use progress::Progress;
pub(crate) use socket::Socket;
