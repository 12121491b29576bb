//! HTTP/1.1 server and client with limits, over monoio
//!
//! Every connection belongs to one task of a single-threaded monoio runtime that was built with
//! `RuntimeBuilder::<LegacyDriver>` and `enable_timer()`. Heads are decoded by the codecs of
//! `monoio-http`, after the raw bytes have passed the checks that these codecs lack; bodies are
//! streamed and their end is always explicit: a body that was cut short is an error.

pub mod body;
pub mod client;
pub mod head;
pub mod hop;
pub mod limits;
pub mod server;
mod wire;
