use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use comfreymill_group::id::VoterId;
use comfreymill_group::message;
use comfreymill_group::replica;
use comfreymill_group::store;
use comfreymill_jobs::id;
use comfreymill_jobs::id::ZoneName;
use comfreymill_jobs::scheduler;
use comfreymill_jobs::state;
use comfreymill_types::time;

use super::group_reports::GroupReports;
use super::input::Input;
use super::leadership::Leadership;
use super::load::Load;
use super::process_state::ProcessState;
use super::waiter::{PendingEntry, Waiter};
use crate::clock;
use crate::jobcall;
use crate::metering::observe;
use crate::proposals::Proposals;
use crate::scheduler::explanation;
use crate::scheduler::links::Links;
use crate::scheduler::member_id;
use crate::scheduler::membership_planner::MembershipPlanner;
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
    /// Desired number of voters in the group.
    pub(in crate::scheduler) voters: usize,
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
    pub(super) process: ProcessState,
    pub(super) leadership: Option<Leadership>,
    /// Term in which this replica last requested the fencing token that it needs to lead.
    pub(super) fence_requested_in: Option<u64>,
    pub(super) inputs: flume::Sender<Input>,
    /// Fatal error after which the process must end.
    pub(super) failure: Option<String>,
    pub(super) membership: MembershipPlanner,
    /// When a log line about the membership was last due.
    pub(super) membership_reported_at: time::Monotonic,
    pub(super) group_reports: GroupReports,
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
    /// Creates the core of an opened replica, in a process that may have had another one before.
    pub(in crate::scheduler) fn new(
        cfg: CoreConfig,
        replica: replica::Replica,
        store: store::Thread,
        links: Links,
        process: ProcessState,
        inputs: flume::Sender<Input>,
    ) -> Self {
        let overload = turns::Overload::new(cfg.bounds);
        let membership = MembershipPlanner::new(cfg.voters);
        Self {
            cfg,
            replica,
            store,
            links,
            state: state::State::default(),
            proposals: Proposals::default(),
            commands: Vec::new(),
            waiters: Vec::new(),
            process,
            leadership: None,
            fence_requested_in: None,
            inputs,
            failure: None,
            membership,
            membership_reported_at: time::Monotonic::ZERO,
            group_reports: GroupReports::default(),
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
            Input::Opened { session, frames } => self.process.sessions.open(session, frames),
            Input::Closed(session) => self.process.sessions.close(session),
            Input::Call { call, reply } => self.handle_call(now, call, reply),
            Input::Group { from, message } => {
                if let Some(message::Body::HeartbeatResponse(response)) = &message.body
                    && response.sent_at_micros > 0
                {
                    let sent_at = time::Monotonic::from_micros(response.sent_at_micros);
                    self.load.heartbeat_answered(now.since(sent_at));
                }
                // The group writes to former members as well, whose seeds may know nobody.
                if self.replica.role() == replica::Role::Newcomer {
                    self.cfg.leader.add_contact(member_id::address(from));
                }
                self.replica.step(now, from, message);
            }
            Input::Store { member, completion } => self.handle_completion(now, member, completion),
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
        self.announce(now);
        self.replica.tick(now);
        self.close_idle_links();
        if self.is_serving(now) {
            let since_1970 = clock::since_1970();
            if let Some(leadership) = &mut self.leadership {
                leadership.scheduler.tick(now, since_1970);
                observe::locality(leadership.scheduler.take_locality_counts());
            }
            self.update_membership(now);
        }
        self.report_group(now);
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

    fn handle_completion(
        &mut self,
        now: time::Monotonic,
        member: VoterId,
        completion: store::Completion,
    ) {
        // The store of a replica that was removed says nothing about the data of this one.
        if member != self.replica.voter() {
            return;
        }
        match completion {
            store::Completion::Synced(sequence) => self.replica.persisted(now, sequence),
            store::Completion::Failed(error) => self.failure = Some(error.to_string()),
        }
    }

    fn drain(&mut self, now: time::Monotonic) {
        self.process.is_draining = true;
        if let Some(successor) = self.replica.best_successor()
            && let Err(error) = self.replica.transfer_leadership(now, successor)
        {
            log::info!(target: "group", reason:% = error; "the leadership cannot be handed over");
        }
    }

    /// Ends the core of a replica that was removed: callers that wait are told so. Returns what the
    /// core of the next replica takes over.
    pub(super) fn retire(mut self) -> ProcessState {
        for (member, _) in self.replica.membership().iter() {
            self.cfg.leader.add_contact(member_id::address(member));
        }
        for waiter in self.waiters.drain(..) {
            waiter.reply.send(&jobcall::Reply::NotLeader);
        }
        self.release_waiters();
        self.process
    }

    fn status_json(&self, now: time::Monotonic) -> Bytes {
        let status = self.replica.status(now);
        let members = self.process.sessions.get_members();
        let text = serde_json::json!({
            "member": status.voter.get(),
            "role": status.role.to_string(),
            "term": status.term.get(),
            "serving": status.serving,
            "commit": status.commit.get(),
            "members": members.all,
            "voters": status.membership.voters().map(member_id::address).collect::<Vec<_>>(),
            "leader": members.leader,
            "jobs": self.state.get_jobs().len(),
            "workers": self.state.get_workers().len(),
            "evacuated_zones": self.state.get_evacuations().evacuated().collect::<Vec<_>>(),
        });
        text.to_string().into()
    }

    /// Interval between ticks.
    pub(super) const TICK: Duration = Duration::from_millis(20);
}
