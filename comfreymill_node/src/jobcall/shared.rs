use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::directory::Directory;
use super::{Members, OwnReplica, Reply};

/// Interval between log lines while no leader is known.
const REPORT_PERIOD: Duration = Duration::from_secs(5);

/// Call that waits to be sent or answered.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub(super) body: Bytes,
    pub(super) reply: flume::Sender<Reply>,
    /// Set before the first byte of the call is written.
    pub(super) sent: Rc<Cell<bool>>,
}

/// Connections to the members of the group, and what they say about it.
#[derive(Clone, Debug)]
pub(super) struct Shared(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    directory: Directory,
    /// Addresses that are tried first.
    seeds: Vec<Ipv4Addr>,
    links: BTreeMap<Ipv4Addr, Link>,
    /// Calls that wait for a leader.
    waiting: Vec<flume::Sender<()>>,
    leaderless_since: Instant,
    reported_at: Instant,
    /// Replica of this process, if it has one.
    own: Option<OwnReplica>,
}

/// Connection to a member: calls to send, and calls that were sent and are not answered.
#[derive(Debug)]
struct Link {
    calls: flume::Sender<PendingCall>,
    unanswered: BTreeMap<u64, flume::Sender<Reply>>,
}

impl Shared {
    /// Creates the state without connections.
    pub(super) fn new(seeds: Vec<Ipv4Addr>) -> Self {
        Self(Rc::new(RefCell::new(State {
            directory: Directory::default(),
            seeds,
            links: BTreeMap::new(),
            waiting: Vec::new(),
            leaderless_since: Instant::now(),
            reported_at: Instant::now(),
            own: None,
        })))
    }

    /// Returns the leader and all members, as far as they are known.
    pub(super) fn members(&self) -> Members {
        self.0.borrow().directory.members()
    }

    /// Returns whether a leader is known and connected.
    pub(super) fn has_leader(&self) -> bool {
        self.0.borrow().directory.leader().is_some()
    }

    /// Returns the addresses to connect to.
    pub(super) fn addresses(&self) -> Vec<Ipv4Addr> {
        let state = self.0.borrow();
        state.directory.addresses(&state.seeds)
    }

    /// Replaces the seeds; returns whether they have changed.
    pub(super) fn set_seeds(&self, seeds: &[Ipv4Addr]) -> bool {
        let known = &mut self.0.borrow_mut().seeds;
        let has_changed = known.as_slice() != seeds;
        if has_changed {
            *known = seeds.to_vec();
        }
        has_changed
    }

    /// Sets the state of the replica of this process.
    pub(super) fn set_own(&self, own: OwnReplica) {
        self.0.borrow_mut().own = Some(own);
    }

    /// Adds the address of a member that is known otherwise than from a connection to it.
    pub(super) fn add_contact(&self, address: Ipv4Addr) {
        self.0.borrow_mut().directory.add_contact(address);
    }

    /// Returns for how long no leader has been known.
    pub(super) fn leaderless_for(&self) -> Duration {
        let state = self.0.borrow();
        match state.directory.leader() {
            Some(_) => Duration::ZERO,
            None => state.leaderless_since.elapsed(),
        }
    }

    /// Logs whom this process looks for a leader at, and what they say, if none has been known for
    /// long.
    pub(super) fn report_search(&self, addresses: &[Ipv4Addr]) {
        let leaderless = self.leaderless_for();
        let mut state = self.0.borrow_mut();
        if leaderless < REPORT_PERIOD || state.reported_at.elapsed() < REPORT_PERIOD {
            return;
        }
        state.reported_at = Instant::now();
        let views: Vec<_> = state.directory.views().collect();
        let (leaderless_ms, connected) = (leaderless.as_millis(), state.links.len());
        if let Some(own) = &state.own {
            log::warn!(target: "link", leaderless_ms, role = own.role.as_str(), term = own.term, kind:% = own.kind, voters = own.voters, heard = own.heard, unsynced_ms = own.unsynced_for.as_millis(), member = own.member.as_str(), connected, addresses:? = addresses, views:? = views; "no leader is known");
        } else {
            log::warn!(target: "link", leaderless_ms, addresses:? = addresses, connected, views:? = views; "no leader is known");
        }
    }

    /// Passes a call to the connection to the leader; returns the call if no leader is known.
    pub(super) fn send(&self, call: PendingCall) -> Result<(), PendingCall> {
        let state = self.0.borrow();
        let link = state.directory.leader().and_then(|leader| state.links.get(&leader));
        match link {
            Some(link) => link.calls.send(call).map_err(flume::SendError::into_inner),
            None => Err(call),
        }
    }

    /// Returns a receiver that is notified, or disconnected, once a leader is known.
    pub(super) fn wait_for_leader(&self) -> flume::Receiver<()> {
        let (tx, rx) = flume::bounded(1);
        let waiting = &mut self.0.borrow_mut().waiting;
        // Calls give up while there is no leader, however long that lasts.
        if waiting.len() == waiting.capacity() {
            waiting.retain(|call| !call.is_disconnected());
        }
        waiting.push(tx);
        rx
    }

    /// Adds the connection to a member; returns the calls to send over it.
    pub(super) fn connected(&self, member: Ipv4Addr) -> flume::Receiver<PendingCall> {
        let (calls, rx) = flume::unbounded();
        let link = Link { calls, unanswered: BTreeMap::new() };
        self.0.borrow_mut().links.insert(member, link);
        rx
    }

    /// Removes the connection to a member; its calls may be sent to the next leader.
    pub(super) fn disconnected(&self, member: Ipv4Addr, reason: &str) {
        let mut state = self.0.borrow_mut();
        state.links.remove(&member);
        let before = state.directory.leader();
        let has_changed = state.directory.lost(member);
        state.leader_updated(before, has_changed, reason);
    }

    /// Handles what a connected member says about the group.
    pub(super) fn heard(&self, from: Ipv4Addr, members: Members) {
        let mut state = self.0.borrow_mut();
        let before = state.directory.leader();
        let has_changed = state.directory.heard(from, members);
        state.leader_updated(before, has_changed, "the leader has changed");
    }

    /// Records a call that is about to be sent over the connection to a member.
    pub(super) fn sent(&self, member: Ipv4Addr, id: u64, reply: flume::Sender<Reply>) {
        if let Some(link) = self.0.borrow_mut().links.get_mut(&member) {
            link.unanswered.insert(id, reply);
        }
    }

    /// Passes on the reply to a call; the caller may have given up.
    pub(super) fn answered(&self, member: Ipv4Addr, id: u64, reply: Reply) {
        let mut state = self.0.borrow_mut();
        let unanswered = state.links.get_mut(&member).and_then(|link| link.unanswered.remove(&id));
        if let Some(caller) = unanswered {
            caller.send(reply).ok();
        }
    }

    /// Forgets the calls to a member whose callers have given up.
    pub(super) fn forget_abandoned(&self, member: Ipv4Addr) {
        if let Some(link) = self.0.borrow_mut().links.get_mut(&member) {
            link.unanswered.retain(|_, caller| !caller.is_disconnected());
        }
    }
}

impl State {
    /// Lets calls go to the next leader after a change: those that wait for one, and those that the
    /// leader before it has not answered.
    fn leader_updated(&mut self, before: Option<Ipv4Addr>, has_changed: bool, reason: &str) {
        if !has_changed {
            return;
        }
        let Some(leader) = self.directory.leader() else {
            self.leaderless_since = Instant::now();
            if let Some(peer) = before {
                log::info!(target: "link", peer:% = peer, reason; "the connection to the leader is lost");
            }
            return;
        };
        log::info!(target: "link", peer:% = leader, waiting = self.waiting.len(); "the leader is connected");
        if let Some(link) = before.and_then(|before| self.links.get_mut(&before)) {
            link.unanswered.clear();
        }
        for waiting in self.waiting.drain(..) {
            waiting.try_send(()).ok();
        }
    }
}
