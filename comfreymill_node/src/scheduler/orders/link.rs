use std::net::SocketAddr;
use std::time::Duration;

use comfreymill_http::client;
use comfreymill_http::limits;
use comfreymill_platform as platform;

use super::connections::Permit;
use super::outcome::Outcome;

/// Maximum time to connect to a worker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for an answer, in addition to the delay that the order allows the worker.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum size of an answer; 500 ends and the runs of a full worker take far less.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Connection to a worker, kept open between orders.
pub(super) struct Link {
    connection: Option<client::Connection>,
    _permit: Permit,
}

impl Link {
    /// Creates a link that is not connected yet.
    pub(super) fn new(permit: Permit) -> Self {
        Self { connection: None, _permit: permit }
    }

    /// Returns whether the connection is open, as far as is known.
    pub(super) fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    /// Connects, unless a usable connection is open.
    pub(super) async fn connect(&mut self, address: SocketAddr) -> Result<(), Outcome> {
        // The worker may have closed an idle connection.
        if let Some(connection) = &self.connection
            && !connection.is_stale().await
        {
            return Ok(());
        }
        self.connection = None;
        let limits = limits::Limits::new().response_timeout(Duration::from_secs(30));
        match client::Connection::connect(address, limits, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                self.connection = Some(connection);
                Ok(())
            }
            Err(error) => {
                let refused =
                    client::ClientErrorKind::Connect(std::io::ErrorKind::ConnectionRefused);
                Err(if error.kind == refused { Outcome::Refused } else { Outcome::NotSent })
            }
        }
    }

    /// Sends a request, whose answer the worker may delay by `wait`; returns `None` if the
    /// connection was stale, so that nothing was sent.
    pub(super) async fn exchange(
        &mut self,
        request: &platform::Outbound,
        wait: Duration,
    ) -> Option<Outcome> {
        let connection = self.connection.as_mut()?;
        let round_trip = async {
            let mut response = connection.send(&request.head, request.body.clone()).await?;
            let body = response.collect(MAX_ANSWER_BYTES).await?;
            Ok::<_, client::ClientError>((response.status(), body))
        };
        let (sent, is_stale) = match monoio::time::timeout(wait + ANSWER_TIMEOUT, round_trip).await
        {
            Ok(Ok((status, body))) => return Some(Outcome::Answered(status, body)),
            Ok(Err(error)) => (error.sent, error.kind == client::ClientErrorKind::Stale),
            Err(_) => (connection.sent(), false),
        };
        self.connection = None;
        match sent {
            client::Sent::Nothing if is_stale => None,
            client::Sent::Nothing => Some(Outcome::NotSent),
            client::Sent::Some => Some(Outcome::Unanswered),
        }
    }
}
