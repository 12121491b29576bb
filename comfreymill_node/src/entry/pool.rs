//! Pool of idle connections to executors.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use comfreymill_http::client;
use comfreymill_http::limits;

const MAX_IDLE_PER_EXECUTOR: usize = 4;
/// Age at which an idle connection is closed.
const MAX_IDLE: Duration = Duration::from_secs(15);
// The deadline of the request bounds the wait for its answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Idle connections by address of the executor.
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
    /// Returns an idle connection, or a new one that is established within `timeout`.
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

    /// Returns a connection to the pool, if it is reusable and the pool has room for it.
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

    /// Closes all idle connections to an executor.
    pub(super) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for at least `MAX_IDLE`.
    pub(super) fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.since.elapsed() < MAX_IDLE);
            !connections.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<client::Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        // The most recently used connection is the least likely to have been closed by the peer.
        connections.pop().map(|idle| idle.connection)
    }
}
