//! Contract tests of the HTTP server and client, over loopback

mod client;
mod server;
mod support;
