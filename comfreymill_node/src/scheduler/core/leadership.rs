use comfreymill_group::replica;
use comfreymill_jobs::scheduler;
use comfreymill_jobs::state;
use comfreymill_types::time;

use super::core::Core;
use super::evacuations;
use super::load::Part;
use super::waiter::PendingEntry;
use crate::clock;
use crate::jobcall;
use crate::scheduler::member_id;
use crate::scheduler::orders::{OrderResult, OrderSender};
use crate::scheduler::turns;

/// Maximum number of proposed entries that are not committed; a commit takes about as long as the
/// turns in which as many are proposed.
const MAX_UNCOMMITTED: usize = 4;

/// State that a leader has in addition to the replicated state.
#[derive(Debug)]
pub(super) struct Leadership {
    /// Scheduler that decides which runs start and stop.
    pub(super) scheduler: scheduler::Scheduler,
    /// Connections that deliver orders to the workers.
    pub(super) order_sender: OrderSender,
    /// Term of the leadership.
    pub(super) term: u64,
}

/// # Leadership
impl Core {
    /// Requests or ends the leadership when the replica's role or term has changed.
    pub(super) fn update_leadership(&mut self, now: time::Monotonic) {
        let term = self.replica.term().get();
        let is_leader = self.replica.role() == replica::Role::Leader;
        if self.leadership.as_ref().is_some_and(|leadership| !is_leader || leadership.term != term)
        {
            self.leadership = None;
            self.routes_proposed_at = 0;
            log::info!(target: "group", term; "this process no longer leads");
        }
        if !is_leader {
            self.fence_requested_in = None;
            self.submitting.clear();
            self.release_waiters();
        }
        if is_leader && self.replica.is_ready() && self.fence_requested_in != Some(term) {
            self.fence_requested_in = Some(term);
            self.commands.push(state::Command::Lead);
        }
        self.publish_members(now);
    }

    /// Starts to lead, once the entry that assigns the fencing token is committed.
    pub(super) fn start_leading(&mut self, now: time::Monotonic, entry_term: u64) {
        let is_leader = self.replica.role() == replica::Role::Leader;
        if !is_leader || entry_term != self.replica.term().get() {
            return;
        }
        let fence = self.state.get_fence();
        let scheduler =
            scheduler::Scheduler::new(self.cfg.decisions, &self.state, clock::since_1970(), now);
        let order_sender = OrderSender::new(
            fence,
            self.cfg.clock,
            self.inputs.clone(),
            self.process.worker_connections.clone(),
        );
        log::info!(target: "group", term = entry_term, fence:% = fence, jobs = self.state.get_jobs().len(), workers = self.state.get_workers().len(); "this process leads");
        self.leadership = Some(Leadership { scheduler, order_sender, term: entry_term });
        self.overload = turns::Overload::new(self.cfg.bounds);
        self.load.spent(Part::Takeover, now, self.cfg.clock.now());
    }

    /// Passes the result of an order to the scheduler, if this leader issued the order.
    pub(super) fn handle_order_result(&mut self, now: time::Monotonic, result: OrderResult) {
        let Some(leadership) = &mut self.leadership else { return };
        if leadership.scheduler.get_first_fence() == result.leader {
            let OrderResult { worker, queued_at, sent_at, answer, .. } = result;
            if matches!(answer, scheduler::Answer::Start { .. }) {
                self.load.start_answered(sent_at.since(queued_at), now.since(sent_at));
            }
            leadership.scheduler.answered(now, worker, sent_at, answer);
        }
    }

    /// Proposes the queued commands as one log entry; returns whether one was proposed.
    ///
    /// While enough entries are not committed yet, commands wait for the next one: an entry costs
    /// about the same for one command as for many.
    pub(super) fn propose_commands(&mut self, now: time::Monotonic) -> bool {
        if self.commands.is_empty() || self.proposals.len() >= MAX_UNCOMMITTED {
            return false;
        }
        let commands = std::mem::take(&mut self.commands);
        let waiters = std::mem::take(&mut self.waiters);
        match self.replica.propose(now, vec![jobcall::encode(&commands)]) {
            Ok(proposed) => {
                if commands.iter().any(evacuations::is_zone_order) {
                    self.zone_order_at = proposed.first.get();
                }
                if commands.iter().any(|c| matches!(c, state::Command::SetRoutes { .. })) {
                    self.routes_proposed_at = proposed.first.get();
                }
                let pending = PendingEntry { waiters, proposed_at: now };
                self.proposals.add(proposed.first, proposed.term, pending);
                true
            }
            Err(error) => {
                log::warn!(target: "group", reason:% = error, commands = commands.len(); "commands cannot be proposed");
                for waiter in waiters {
                    waiter.reply.send(&jobcall::Reply::NotLeader);
                }
                for command in &commands {
                    if let state::Command::SubmitAt { submission, .. } = command {
                        self.submitting.remove(&submission.job);
                    }
                }
                // A replica that leads without a fencing token requests the token again.
                self.fence_requested_in =
                    self.leadership.as_ref().map(|leadership| leadership.term);
                // The next leader makes the rejected decisions again.
                if let Some(leadership) = &mut self.leadership {
                    leadership.scheduler.commands_not_proposed(commands);
                }
                false
            }
        }
    }

    /// Replies to every waiter that the outcome of its command is unknown.
    pub(super) fn release_waiters(&mut self) {
        let pending = self.proposals.take_all();
        for waiter in pending.into_iter().flat_map(|entry| entry.waiters) {
            waiter.reply.send(&jobcall::Reply::Unknown);
        }
    }

    /// Informs connected processes if the leader or the members have changed.
    fn publish_members(&mut self, now: time::Monotonic) {
        if !self.process.sessions.publish(self.known_members(now)) {
            return;
        }
        let jobcall::Members { leader, all } = self.process.sessions.get_members();
        log::info!(target: "group", leader:? = leader, members:? = all; "the leader or the members of the group have changed");
    }

    /// Returns the leader and the members of the group. A replica that is no member yet says what it
    /// has heard from the leader, for processes whose seeds know nobody else.
    fn known_members(&self, now: time::Monotonic) -> jobcall::Members {
        if self.replica.role() == replica::Role::Newcomer {
            let heard = self.cfg.leader.members();
            return if heard.leader.is_some() { heard } else { jobcall::Members::default() };
        }
        let own = self.replica.voter();
        let is_leading = self.leadership.is_some() && self.is_serving(now);
        let leader = match self.replica.leader_hint() {
            Some(leader) if leader == own => is_leading.then_some(self.cfg.address),
            Some(leader) => Some(member_id::address(leader)),
            None => None,
        };
        let all = self.replica.membership().iter().map(|(id, _)| member_id::address(id)).collect();
        jobcall::Members { leader, all }
    }
}

/// Returns the reply with the document of the routes in force.
pub(super) fn routes_reply(state: &state::State) -> jobcall::Reply {
    match state.get_routes() {
        Some(routes) => jobcall::Reply::Routes(routes.document.clone()),
        None => jobcall::Reply::NoRoutes,
    }
}

/// Returns the phase of a job that callers are shown.
pub(super) fn phase(job: &state::Job, has_started: bool) -> jobcall::Phase {
    match job.status {
        state::JobStatus::Open if has_started => jobcall::Phase::Running,
        state::JobStatus::Open => jobcall::Phase::Pending,
        state::JobStatus::Completed => jobcall::Phase::Completed,
        state::JobStatus::Failed => jobcall::Phase::Failed,
        state::JobStatus::Cancelled => jobcall::Phase::Cancelled,
    }
}
