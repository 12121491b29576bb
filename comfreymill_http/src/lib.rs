//! HTTP/1.1 server and client with configurable limits, built on monoio
//!
//! Every connection is owned by one task of a single-threaded monoio runtime that was built with
//! `RuntimeBuilder::<LegacyDriver>` and `enable_timer()`. Heads are decoded by the codecs of
//! `monoio-http` after the raw bytes have passed checks that these codecs lack. Bodies are
//! streamed and always have an explicit end, so a body that is cut short is an error.

pub mod body;
pub mod client;
pub mod head;
pub mod hop;
pub mod limits;
pub mod server;
mod wire;
