//! Integration tests of the HTTP server and client, over loopback

mod client;
mod hop;
mod process;
mod server;
mod support;
