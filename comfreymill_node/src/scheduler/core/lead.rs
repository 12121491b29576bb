use comfreymill_group::replica;
use comfreymill_jobs::scheduler;
use comfreymill_jobs::state;
use comfreymill_types::time;

use super::core::Core;
use super::waiter::Waiting;
use crate::clock;
use crate::jobcall;
use crate::scheduler::courier::{Courier, Delivered};
use crate::scheduler::member_id;

/// State that a leader has in addition to the replicated state.
#[derive(Debug)]
pub(super) struct Lead {
    /// Scheduler that decides which runs start and stop.
    pub(super) scheduler: scheduler::Scheduler,
    /// Connections that deliver orders to the workers.
    pub(super) courier: Courier,
    /// Term of the leadership.
    pub(super) term: u64,
    /// When the leadership began.
    pub(super) began_at: time::Monotonic,
}

/// # Leadership
impl Core {
    /// Requests or ends the leadership when the replica's role or term has changed.
    pub(super) fn follow_role(&mut self, now: time::Monotonic) {
        let term = self.replica.term().get();
        let leads = self.replica.role() == replica::Role::Leader;
        if self.lead.as_ref().is_some_and(|lead| !leads || lead.term != term) {
            self.lead = None;
            log::info!(target: "group", term; "this process no longer leads");
        }
        if !leads {
            self.lead_asked_in = None;
            self.drop_waiters();
        }
        if leads && self.replica.is_ready() && self.lead_asked_in != Some(term) {
            self.lead_asked_in = Some(term);
            self.commands.push(state::Command::Lead);
        }
        self.follow_members(now);
    }

    /// Starts to lead, once the entry that assigns the fencing token is committed.
    pub(super) fn begin_to_lead(&mut self, now: time::Monotonic, entry_term: u64) {
        let leads = self.replica.role() == replica::Role::Leader;
        if !leads || entry_term != self.replica.term().get() {
            return;
        }
        let fence = self.state.get_fence();
        let scheduler =
            scheduler::Scheduler::new(self.cfg.decisions, &self.state, clock::since_1970(), now);
        let courier = Courier::new(fence, self.cfg.clock, self.inputs.clone());
        log::info!(target: "group", term = entry_term, fence:% = fence, jobs = self.state.get_jobs().len(), workers = self.state.get_workers().len(); "this process leads");
        self.lead = Some(Lead { scheduler, courier, term: entry_term, began_at: now });
    }

    /// Passes the result of an order to the scheduler, if this leader issued the order.
    pub(super) fn delivered(&mut self, now: time::Monotonic, delivered: Delivered) {
        let Some(lead) = &mut self.lead else { return };
        if lead.scheduler.get_fence() == delivered.fence {
            let Delivered { worker, sent_at, answer, .. } = delivered;
            lead.scheduler.answered(now, worker, sent_at, answer);
        }
    }

    /// Places tasks, sends the resulting orders to workers and queues the commands to propose.
    pub(super) fn carry_out_decisions(&mut self, now: time::Monotonic) {
        if !self.is_serving(now) {
            return;
        }
        let Some(lead) = &mut self.lead else { return };
        lead.scheduler.place(now);
        for order in lead.scheduler.take_orders() {
            let Some(worker) = lead.scheduler.worker(order.worker()) else { continue };
            let known = &worker.announced;
            lead.courier.send(order, &known.name, known.address);
        }
        self.commands.extend(lead.scheduler.take_commands());
    }

    /// Proposes the queued commands as one log entry; returns whether one was proposed.
    pub(super) fn propose_commands(&mut self, now: time::Monotonic) -> bool {
        if self.commands.is_empty() {
            return false;
        }
        let commands = std::mem::take(&mut self.commands);
        let waiters = std::mem::take(&mut self.waiters);
        match self.replica.propose(now, vec![jobcall::encode(&commands)]) {
            Ok(proposed) => {
                let waiting = Waiting { callers: waiters, proposed_at: now };
                self.proposals.add(proposed.first, proposed.term, waiting);
                true
            }
            Err(error) => {
                log::warn!(target: "group", reason:% = error, commands = commands.len(); "commands cannot be proposed");
                for waiter in waiters {
                    waiter.reply.send(&jobcall::Reply::NotLeader);
                }
                // A replica that leads without a fencing token requests the token again.
                self.lead_asked_in = self.lead.as_ref().map(|lead| lead.term);
                // The next leader makes the rejected decisions again.
                if let Some(lead) = &mut self.lead {
                    lead.scheduler.commands_not_proposed(commands);
                }
                false
            }
        }
    }

    /// Replies to every waiter that the outcome of its command is unknown.
    fn drop_waiters(&mut self) {
        let waiting = self.proposals.take_all().into_iter().flat_map(|it| it.callers);
        for waiter in waiting {
            waiter.reply.send(&jobcall::Reply::Unknown);
        }
    }

    /// Informs connected processes if the leader or the members have changed.
    fn follow_members(&mut self, now: time::Monotonic) {
        let own = self.replica.voter();
        let hint = self.replica.leader_hint();
        let is_leading = self.lead.is_some() && self.is_serving(now);
        let leader = match hint {
            Some(leader) if leader == own => is_leading.then_some(self.cfg.address),
            Some(leader) => Some(member_id::address(leader)),
            None => None,
        };
        let all = self.replica.membership().iter().map(|(id, _)| member_id::address(id)).collect();
        let members = jobcall::Members { leader, all };
        if members == self.members {
            return;
        }
        log::info!(target: "group", leader:? = members.leader, members:? = members.all; "the leader or the members of the group have changed");
        let kept = members.all.clone();
        self.links.retain(|address| kept.contains(&address) || kept.is_empty());
        self.members = members;
        let frame = self.members_frame();
        for frames in self.sessions.values() {
            frames.try_send(frame.clone()).ok();
        }
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
