//! Idle connections to executors, kept for the next request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use comfreymill_http::client;
use comfreymill_http::limits;

const MAX_IDLE_PER_EXECUTOR: usize = 4;
const MAX_IDLE: Duration = Duration::from_secs(15);
// The deadline of the request bounds the wait for its answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Idle connections by executor.
#[derive(Debug, Default)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: client::Connection,
    since: Instant,
}

impl Pool {
    /// Idle connection, or a new one that opens within `timeout`.
    pub(super) async fn take(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<client::Connection, client::ClientError> {
        while let Some(connection) = self.take_idle(address) {
            if !connection.is_stale().await {
                return Ok(connection);
            }
        }
        let limits = limits::Limits::new().response_timeout(RESPONSE_TIMEOUT);
        client::Connection::connect(address, limits, timeout).await
    }

    /// Keeps a connection for the next request, if it can serve one.
    pub(super) fn put(&self, address: SocketAddr, connection: client::Connection) {
        if !connection.is_reusable() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_EXECUTOR {
            connections.push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes the idle connections to an executor.
    pub(super) fn drop_all(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that were idle for long.
    pub(super) fn drop_old(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() < MAX_IDLE);
            !connections.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<client::Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        // The latest is the one most likely to be alive.
        connections.pop().map(|idle| idle.connection)
    }
}
