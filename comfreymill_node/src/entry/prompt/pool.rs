use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use comfreymill_http::client;
use comfreymill_http::limits;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_IDLE_PER_EXECUTOR: usize = 8;

/// Idle connections to executors.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<client::Connection>>>,
}

impl Pool {
    /// Idle connection, or a new one.
    pub(super) async fn take(
        &self,
        address: SocketAddr,
    ) -> Result<client::Connection, client::ClientError> {
        while let Some(connection) = self.take_idle(address) {
            if !connection.is_stale().await {
                return Ok(connection);
            }
        }
        client::Connection::connect(address, limits::Limits::new(), CONNECT_TIMEOUT).await
    }

    /// Keeps a connection for the next request, if it can serve one.
    pub(super) fn put(&self, address: SocketAddr, connection: client::Connection) {
        if !connection.is_reusable() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_EXECUTOR {
            connections.push(connection);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<client::Connection> {
        self.idle.borrow_mut().get_mut(&address)?.pop()
    }
}
