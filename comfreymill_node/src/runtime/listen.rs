use std::net::SocketAddr;

use comfreymill_http::limits;
use comfreymill_types::error;
use monoio::net::{ListenerOpts, TcpListener};

use crate::settings;

/// Opens the listener that `name` refers to in the settings.
///
/// # Errors
///
/// Fails with `invalid-settings`, which names the listener, if the address cannot be bound.
pub fn listen(name: &str, address: SocketAddr) -> Result<TcpListener, error::Error> {
    // By default a second process could bind the address as well and get a part of the connections.
    let options = ListenerOpts::new().reuse_port(false);
    TcpListener::bind_with_config(address, &options).map_err(|e| {
        let message = format!("cannot listen on {address}: {e}");
        error::Error::new(error::ErrorKind::InvalidSettings, message).field(name)
    })
}

/// Converts the limits of the settings into those of an HTTP listener.
pub fn http_limits(limits: &settings::Limits) -> limits::Limits {
    let bytes = |size: u64| usize::try_from(size).unwrap_or(usize::MAX);
    limits::Limits::new()
        .max_head_bytes(bytes(limits.get_head().get()))
        .max_body_bytes(limits.get_body().get())
        .max_connections(limits.get_connections() as usize)
        .max_requests_in_progress(limits.get_connections() as usize)
        .idle_timeout(limits.get_idle().into())
        .head_timeout(limits.get_progress().into())
        .body_progress_timeout(limits.get_progress().into())
}
