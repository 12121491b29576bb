use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use comfreymill_group::message;
use comfreymill_group::replica;
use comfreymill_group::store;
use comfreymill_jobs::id;
use comfreymill_jobs::id::ZoneName;
use comfreymill_jobs::scheduler;
use comfreymill_jobs::state;
use comfreymill_types::time;

use super::input::Input;
use super::leadership::Leadership;
use super::load::Load;
use super::waiter::{PendingEntry, Waiter};
use crate::clock;
use crate::jobcall;
use crate::metering::observe;
use crate::peer;
use crate::proposals::Proposals;
use crate::scheduler::explanation;
use crate::scheduler::links::Links;
use crate::scheduler::orders::Connections;
use crate::scheduler::turns;

/// Minimum interval between rounds of placement; a commit takes about as long.
const PLACEMENT_PERIOD: Duration = Duration::from_millis(10);

/// Configuration of the core.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct CoreConfig {
    /// Clock of the process.
    pub(in crate::scheduler) clock: clock::Clock,
    /// Address of this process's machine, which identifies it as a member of the group.
    pub(in crate::scheduler) address: Ipv4Addr,
    /// Address at which workers and operators reach this process.
    pub(in crate::scheduler) control: SocketAddr,
    /// Configuration of the leader's scheduler.
    pub(in crate::scheduler) decisions: scheduler::Config,
    /// Client for calls to the leader, which also tracks the members of the group.
    pub(in crate::scheduler) leader: jobcall::Client,
    /// Addresses of the machines that are contacted first.
    pub(in crate::scheduler) seeds: Vec<Ipv4Addr>,
    /// Desired number of voters in the group.
    pub(in crate::scheduler) voters: usize,
    /// Maximum number of connections to workers.
    pub(in crate::scheduler) worker_connections: usize,
    /// Availability zones that operators may evacuate, beside those of known workers.
    pub(in crate::scheduler) zones: Vec<ZoneName>,
    /// Number of log entries between two snapshots.
    pub(in crate::scheduler) snapshot_entries: u64,
    /// Bounds on the wait of inputs, beyond which work is put off or refused.
    pub(in crate::scheduler) bounds: Option<turns::Bounds>,
}

/// Replica, replicated state and, while this replica leads, the leader's scheduler.
pub(in crate::scheduler) struct Core {
    pub(super) cfg: CoreConfig,
    pub(super) replica: replica::Replica,
    pub(super) store: store::Thread,
    pub(super) links: Links,
    pub(super) state: state::State,
    pub(super) proposals: Proposals<PendingEntry>,
    /// Commands for the next proposal.
    pub(super) commands: Vec<state::Command>,
    /// Callers that wait for one of `commands`.
    pub(super) waiters: Vec<Waiter>,
    /// Connected processes, with the queues of frames to send them.
    pub(super) sessions: BTreeMap<peer::SessionId, flume::Sender<peer::Frame>>,
    /// Leader and members that the connected processes were last informed of.
    pub(super) members: jobcall::Members,
    pub(super) leadership: Option<Leadership>,
    /// Term in which this replica last requested the fencing token that it needs to lead.
    pub(super) fence_requested_in: Option<u64>,
    pub(super) inputs: flume::Sender<Input>,
    /// Connections to workers; those of an earlier leadership may still be open.
    pub(super) worker_connections: Connections,
    /// Fatal error after which the process must end.
    pub(super) failure: Option<String>,
    pub(super) is_draining: bool,
    pub(super) members_checked_at: time::Monotonic,
    /// When tasks are placed next.
    pub(super) placement: turns::Pacer,
    pub(super) load: Load,
    pub(super) overload: turns::Overload,
    /// Number of jobs that were refused since the level of the load last changed.
    pub(super) refused: u64,
    /// Jobs whose submission is proposed and not committed.
    pub(super) submitting: BTreeSet<id::JobKey>,
    pub(super) zones_observed_at: time::Monotonic,
    /// Log index of the last entry with an order about a zone that this process proposed.
    pub(super) zone_order_at: u64,
    /// Log index of the last entry with a version of the routes that this process proposed.
    pub(super) routes_proposed_at: u64,
}

impl Core {
    /// Creates the core of an opened replica.
    pub(in crate::scheduler) fn new(
        cfg: CoreConfig,
        replica: replica::Replica,
        store: store::Thread,
        links: Links,
        inputs: flume::Sender<Input>,
    ) -> Self {
        let overload = turns::Overload::new(cfg.bounds);
        let worker_connections = Connections::new(cfg.worker_connections);
        Self {
            cfg,
            replica,
            store,
            links,
            state: state::State::default(),
            proposals: Proposals::default(),
            commands: Vec::new(),
            waiters: Vec::new(),
            sessions: BTreeMap::new(),
            members: jobcall::Members::default(),
            leadership: None,
            fence_requested_in: None,
            inputs,
            worker_connections,
            failure: None,
            is_draining: false,
            members_checked_at: time::Monotonic::ZERO,
            placement: turns::Pacer::new(PLACEMENT_PERIOD),
            load: Load::new(),
            overload,
            refused: 0,
            submitting: BTreeSet::new(),
            zones_observed_at: time::Monotonic::ZERO,
            zone_order_at: 0,
            routes_proposed_at: 0,
        }
    }

    /// Handles one input.
    pub(super) fn handle(&mut self, now: time::Monotonic, input: Input) {
        match input {
            Input::Opened { session, frames } => {
                frames.try_send(self.members_frame()).ok();
                self.sessions.insert(session, frames);
            }
            Input::Closed(session) => {
                self.sessions.remove(&session);
            }
            Input::Call { session, id, call } => self.handle_session_call(now, session, id, call),
            Input::LocalCall { call, reply } => self.handle_local_call(now, call, reply),
            Input::Group { from, message } => {
                if let Some(message::Body::HeartbeatResponse(response)) = &message.body
                    && response.sent_at_micros > 0
                {
                    let sent_at = time::Monotonic::from_micros(response.sent_at_micros);
                    self.load.heartbeat_answered(now.since(sent_at));
                }
                self.replica.step(now, from, message);
            }
            Input::Store(completion) => self.handle_completion(now, completion),
            Input::OrderResult(result) => self.handle_order_result(now, *result),
            Input::Status(reply) => {
                reply.send(self.status_json(now)).ok();
            }
            Input::Explain { key, reply } => {
                let leader = self.leadership.as_ref().map(|leadership| &leadership.scheduler);
                reply.send(explanation::explain(&self.state, leader, now, &key)).ok();
            }
            Input::ZoneRevision { zone, reply } => {
                reply.send(self.state.get_evacuations().get_revision(&zone)).ok();
            }
            Input::Drain(done) => {
                self.drain(now);
                done.send(()).ok();
            }
        }
    }

    /// Runs the timers that are due by `now`.
    pub(super) fn tick(&mut self, now: time::Monotonic) {
        self.announce();
        self.replica.tick(now);
        if self.is_serving(now) {
            let since_1970 = clock::since_1970();
            if let Some(leadership) = &mut self.leadership {
                leadership.scheduler.tick(now, since_1970);
                observe::locality(leadership.scheduler.take_locality_counts());
            }
            self.update_membership(now);
        }
        self.observe_evacuations(now);
    }

    /// Returns whether this replica leads and may answer for the group.
    pub(super) fn is_serving(&self, now: time::Monotonic) -> bool {
        self.failure.is_none() && self.replica.lease_valid(now) && self.replica.is_ready()
    }

    /// Returns the fatal error after which the process must end, if there is one.
    pub(super) fn get_failure(&self) -> Option<&str> {
        self.failure.as_deref()
    }

    /// Returns whether the group has removed this replica.
    pub(super) fn was_removed(&self) -> bool {
        let halted = self.replica.halted();
        matches!(halted, Some(replica::Halt::Removed { .. } | replica::Halt::DiskReplaced { .. }))
    }

    fn handle_completion(&mut self, now: time::Monotonic, completion: store::Completion) {
        match completion {
            store::Completion::Synced(sequence) => self.replica.persisted(now, sequence),
            store::Completion::Failed(error) => self.failure = Some(error.to_string()),
        }
    }

    fn drain(&mut self, now: time::Monotonic) {
        self.is_draining = true;
        if let Some(successor) = self.replica.best_successor()
            && let Err(error) = self.replica.transfer_leadership(now, successor)
        {
            log::info!(target: "group", reason:% = error; "the leadership cannot be handed over");
        }
    }

    /// Returns the frame that informs a connected process of the leader and the members.
    pub(super) fn members_frame(&self) -> peer::Frame {
        peer::Frame::new(peer::FrameKind::Push, 0, jobcall::encode(&self.members))
    }

    fn status_json(&self, now: time::Monotonic) -> Bytes {
        let status = self.replica.status(now);
        let text = serde_json::json!({
            "member": status.voter.get(),
            "role": status.role.to_string(),
            "term": status.term.get(),
            "serving": status.serving,
            "commit": status.commit.get(),
            "members": self.members.all,
            "leader": self.members.leader,
            "jobs": self.state.get_jobs().len(),
            "workers": self.state.get_workers().len(),
            "evacuated_zones": self.state.get_evacuations().evacuated().collect::<Vec<_>>(),
        });
        text.to_string().into()
    }

    /// Interval between ticks.
    pub(super) const TICK: Duration = Duration::from_millis(20);
}
