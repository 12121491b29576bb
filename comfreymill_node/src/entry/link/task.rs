use std::net::SocketAddr;
use std::time::Duration;

use comfreymill_types::id;

use super::candidates::Candidates;
use super::handle::{Link, Request};
use super::pending::Pending;
use super::session::{Session, SessionEnd};
use crate::clock;
use crate::peer;
use crate::protocol;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next voter is tried.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Delay before the list of voters is tried again from its start.
const ROUND_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Configuration of the link to the group.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// Voters with their peer addresses.
    pub voters: Vec<(id::VoterName, SocketAddr)>,
    /// Identity of this process.
    pub identity: peer::Identity,
    /// Time without a frame from the peer after which the connection is closed.
    pub silence_limit: Duration,
    /// Clock of the process.
    pub clock: clock::Clock,
}

/// Starts the link's task; state that the leader pushes is sent to `pushes`.
pub fn start(cfg: LinkConfig, pushes: flume::Sender<protocol::Push>) -> Link {
    let (tx, requests) = flume::unbounded();
    let task = Task {
        candidates: Candidates::new(cfg.voters.clone()),
        pending: Pending::default(),
        cfg,
        requests,
        pushes,
    };
    monoio::spawn(task.run());
    Link { tx }
}

struct Task {
    cfg: LinkConfig,
    candidates: Candidates,
    pending: Pending,
    requests: flume::Receiver<Request>,
    pushes: flume::Sender<protocol::Push>,
}

impl Task {
    async fn run(mut self) {
        loop {
            let Some((name, address)) = self.candidates.take_next() else { return };
            match self.connect(address).await {
                SessionEnd::Stopped => return,
                SessionEnd::Redirected(Some(leader)) if leader != name => {
                    self.candidates.prefer(&leader);
                }
                SessionEnd::Redirected(_) => {}
                SessionEnd::Failed(error) => {
                    log::info!(target: "link", "Connection to voter {name} at {address} failed: {error}.");
                }
            }
            if !self.wait_before_retry().await {
                return;
            }
        }
    }

    async fn connect(&mut self, address: SocketAddr) -> SessionEnd {
        let connect = peer::Connection::connect(address, &self.cfg.identity, CONNECT_TIMEOUT);
        let connection = match connect.await {
            Ok(connection) => connection,
            Err(error) => return SessionEnd::Failed(error),
        };
        let session = Session {
            clock: self.cfg.clock,
            silence_limit: self.cfg.silence_limit,
            connection,
            pending: &mut self.pending,
            requests: &self.requests,
            pushes: &self.pushes,
        };
        session.run().await
    }

    /// Waits before the next voter is tried, then adds new calls and fails those that timed out.
    ///
    /// Returns whether the link is still in use.
    async fn wait_before_retry(&mut self) -> bool {
        let delay =
            if self.candidates.is_round_complete() { ROUND_RETRY_DELAY } else { RETRY_DELAY };
        monoio::time::sleep(delay).await;
        let now = self.cfg.clock.now();
        loop {
            match self.requests.try_recv() {
                Ok(req) => {
                    self.pending.add(now, req);
                }
                Err(flume::TryRecvError::Empty) => break,
                Err(flume::TryRecvError::Disconnected) => return false,
            }
        }
        self.pending.expire(now);
        true
    }
}
