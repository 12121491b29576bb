use std::cell::Cell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::link::{self, LinkConfig};
use super::patience::Patience;
use super::shared::{PendingCall, Shared};
use super::{Call, Members, OwnReplica, Reply, codec};

/// Pause before a call is sent again to a member that could not handle it.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Maximum time for one attempt; a leader that serves answers within one disk sync and two trips
/// between regions.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// No leader answered a call in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallError {
    /// Whether a leader may have received the call.
    pub was_sent: bool,
    /// When the caller should send the request again, if it was refused.
    pub retry_after: Option<Duration>,
}

/// Client for calls to the current leader.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Shared,
}

impl Client {
    /// Starts the task that maintains connections to the members of the group.
    pub fn start(cfg: LinkConfig) -> Self {
        let shared = Shared::new(cfg.seeds.clone());
        monoio::spawn(link::run(cfg, shared.clone()));
        Self { shared }
    }

    /// Returns whether a leader is known and connected.
    pub fn is_connected(&self) -> bool {
        self.shared.has_leader()
    }

    /// Returns the last known leader and members of the group.
    pub fn members(&self) -> Members {
        self.shared.members()
    }

    /// Returns the addresses at which members are looked for: the seeds, all known members, leaders
    /// that members name, and contacts.
    pub fn addresses(&self) -> Vec<Ipv4Addr> {
        self.shared.addresses()
    }

    /// Replaces the seeds; returns whether they have changed.
    pub fn set_seeds(&self, seeds: &[Ipv4Addr]) -> bool {
        self.shared.set_seeds(seeds)
    }

    /// Sets the state of the replica of this process, which is logged while no leader is known.
    pub fn set_own(&self, own: OwnReplica) {
        self.shared.set_own(own);
    }

    /// Adds the address of a member that is known otherwise than from a connection to it.
    pub fn add_contact(&self, address: Ipv4Addr) {
        self.shared.add_contact(address);
    }

    /// Sends a call to the leader, and to the next one when it is lost, until the call is answered
    /// or `timeout` has elapsed. Calls that may be repeated later are given up early if no leader is
    /// expected in time.
    ///
    /// # Errors
    ///
    /// No leader answered in time, or the leader refused the call.
    pub async fn call(&self, call: &Call, timeout: Duration) -> Result<Reply, CallError> {
        let body = codec::encode(call);
        let deadline = Instant::now() + timeout;
        let mut was_sent = false;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(CallError { was_sent, retry_after: None });
            }
            if !self.is_connected() {
                if let Some(error) = self.wait_for_leader(call, remaining, was_sent).await {
                    return Err(error);
                }
                continue;
            }
            match self.attempt(body.clone(), remaining.min(ATTEMPT_TIMEOUT)).await {
                Ok(Reply::Unknown) => was_sent = true,
                Ok(Reply::NotLeader) => {}
                // An earlier attempt may have succeeded, so the call must not count as refused.
                Ok(Reply::Overloaded { .. }) if was_sent => {}
                Ok(Reply::Overloaded { retry_after_ms }) => {
                    let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                    return Err(CallError { was_sent: false, retry_after: Some(retry_after) });
                }
                Ok(reply) => return Ok(reply),
                // The leader has changed, or the time is over.
                Err(LostReply { was_sent: sent }) => {
                    was_sent |= sent;
                    continue;
                }
            }
            if Instant::now() + RETRY_PAUSE >= deadline {
                return Err(CallError { was_sent, retry_after: None });
            }
            monoio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Waits until a leader is known; returns an error if none is expected in time.
    async fn wait_for_leader(
        &self,
        call: &Call,
        remaining: Duration,
        was_sent: bool,
    ) -> Option<CallError> {
        let leaderless = self.shared.leaderless_for();
        let decision = Patience::decide(leaderless, remaining, rand::random());
        let may_return = matches!(call, Call::Submit { .. } | Call::Show { .. });
        if let Patience::GiveUp { retry_after } = decision
            && may_return
            && !was_sent
        {
            return Some(CallError { was_sent, retry_after: Some(retry_after) });
        }
        let leader = self.shared.wait_for_leader();
        match monoio::time::timeout(remaining, leader.recv_async()).await {
            Ok(_) => None,
            Err(_) => Some(CallError { was_sent, retry_after: None }),
        }
    }

    async fn attempt(&self, body: Bytes, limit: Duration) -> Result<Reply, LostReply> {
        let sent = Rc::new(Cell::new(false));
        let (reply, rx) = flume::bounded(1);
        let pending = PendingCall { body, reply, sent: Rc::clone(&sent) };
        if self.shared.send(pending).is_err() {
            return Err(LostReply { was_sent: false });
        }
        match monoio::time::timeout(limit, rx.recv_async()).await {
            Ok(Ok(reply)) => Ok(reply),
            _ => Err(LostReply { was_sent: sent.get() }),
        }
    }
}

/// No reply to an attempt has arrived.
struct LostReply {
    was_sent: bool,
}
