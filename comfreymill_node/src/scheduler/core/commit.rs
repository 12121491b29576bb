use comfreymill_group::entry;
use comfreymill_group::id;
use comfreymill_group::replica;
use comfreymill_jobs::state;
use comfreymill_types::time;

use super::core::Core;
use super::load::Part;
use crate::jobcall;
use crate::metering::observe;
use crate::scheduler::roster::Roster;

/// # Replica actions
impl Core {
    /// Runs the replica's actions and the decisions that follow from them until none are left.
    ///
    /// Every step reads the clock again: the process may have been suspended before it, and then a
    /// lease that was valid at the start of the turn is not valid any more.
    pub(super) fn run_actions(&mut self) {
        loop {
            let actions = self.replica.take_actions();
            let is_idle = actions.is_empty();
            for action in actions {
                self.run_action(self.cfg.clock.now(), action);
            }
            self.update_leadership(self.cfg.clock.now());
            self.issue_orders();
            let has_proposed = self.propose_commands(self.cfg.clock.now());
            if is_idle && !has_proposed {
                break;
            }
        }
        self.snapshot_if_due();
    }

    fn run_action(&mut self, now: time::Monotonic, action: replica::Action) {
        match action {
            replica::Action::Persist(write) => self.store.write(write),
            replica::Action::Send { to, message } => self.links.send(to, &message),
            replica::Action::Commit { entries } => {
                for entry in entries {
                    self.commit(now, entry);
                }
                self.load.spent(Part::Commit, now, self.cfg.clock.now());
            }
            replica::Action::InstallSnapshot(snapshot) => {
                match state::State::from_snapshot(&snapshot.data) {
                    Ok(state) => self.state = state,
                    Err(error) => self.failure = Some(error.to_string()),
                }
            }
            replica::Action::Role { role, term, leader } => {
                log::info!(target: "group", role:% = role, term = term.get(), leader = leader.map_or(0, id::VoterId::get); "the role, term or leader of this replica has changed");
            }
            // The waiters got their replies when this replica stopped leading.
            replica::Action::Truncated { .. } => {}
            replica::Action::Halt(halt) => self.failure = Some(halt.to_string()),
        }
    }

    fn commit(&mut self, now: time::Monotonic, entry: entry::Entry) {
        let pending = self.proposals.take(entry.index, entry.term);
        if let Some(pending) = &pending {
            observe::commit(now.since(pending.proposed_at));
            self.load.committed(now.since(pending.proposed_at));
        }
        let waiters = pending.unwrap_or_default().waiters;
        if let entry::Payload::Membership(members) = &entry.payload {
            let roster = Roster::new(members);
            log::info!(target: "group", entry = entry.index.get(), voters = roster.voters.as_str(), learners = roster.learners.as_str(); "a membership change is committed");
        }
        let entry::Payload::Data(data) = entry.payload else { return };
        let commands: Vec<state::Command> = match jobcall::decode(&data) {
            Ok(commands) => commands,
            Err(error) => {
                self.failure = Some(format!("log entry {}: {error}", entry.index));
                return;
            }
        };
        let mut waiters = waiters.into_iter().peekable();
        for (position, command) in commands.into_iter().enumerate() {
            let effect = self.state.apply(entry.index.get(), command);
            let refusal = match &effect {
                state::Effect::NoSuchJob(_) => Some(jobcall::Reply::NoSuchJob),
                state::Effect::ZoneOrderSuperseded(zone) => {
                    log::info!(target: "evacuations", zone:% = zone; "an order about a zone is refused, since another one was committed first");
                    Some(jobcall::Reply::Superseded)
                }
                _ => None,
            };
            self.notify_scheduler(now, entry.term.get(), effect);
            while let Some(waiter) = waiters.next_if(|waiter| waiter.position == position) {
                waiter.reply.send(refusal.as_ref().unwrap_or(&waiter.done));
            }
        }
    }

    /// Informs the leader's scheduler of a change to the replicated state.
    fn notify_scheduler(&mut self, now: time::Monotonic, term: u64, effect: state::Effect) {
        if let state::Effect::JobAdded(key) | state::Effect::JobCancelledBefore(key) = &effect {
            self.submitting.remove(key);
        }
        if let state::Effect::FenceAssigned(fence) = effect {
            match self.leadership.as_mut().filter(|leadership| leadership.term == term) {
                Some(leadership) => leadership.scheduler.fence_raised(fence),
                None => {
                    self.leadership = None;
                    self.start_leading(now, term);
                }
            }
            return;
        }
        let Some(leadership) = &mut self.leadership else { return };
        let scheduler = &mut leadership.scheduler;
        match effect {
            state::Effect::RoutesChanged => {
                if let Some(routes) = self.state.get_routes() {
                    log::info!(target: "routes", version = routes.table.version, queues = routes.table.queues.len(); "routes are in force");
                    scheduler.routes_changed(&self.state);
                }
            }
            state::Effect::JobAdded(key) => {
                if let Some(job) = self.state.get_jobs().get(&key) {
                    log::info!(target: "jobs", job:% = key, queue = job.queue.as_str(), steps = job.spec.steps.len(); "a job is accepted");
                    scheduler.job_added(now, key, job);
                }
            }
            state::Effect::JobCancelled(key) => {
                log::info!(target: "jobs", job:% = key; "a job is cancelled");
                scheduler.job_over(now, key);
            }
            state::Effect::NoSuchJob(key) => {
                log::info!(target: "jobs", job:% = key; "a job that is not known is cancelled");
                scheduler.cancelled_before(now, key);
            }
            state::Effect::JobCancelledBefore(key) => {
                log::info!(target: "jobs", job:% = key; "a job is submitted after its cancellation: it does not run");
                scheduler.cancelled_before(now, key);
            }
            state::Effect::WorkerAdded(number) => {
                scheduler.worker_added(now, number, &self.state);
            }
            state::Effect::WorkerLeaving(number) => {
                scheduler.worker_leaving(number, &self.state);
            }
            state::Effect::WorkersDropped(workers) => {
                for worker in workers {
                    leadership.order_sender.remove_worker(worker);
                }
            }
            state::Effect::WorkerCrashed { worker, runs, given_up } => {
                leadership.order_sender.remove_worker(worker);
                scheduler.crash_noted(now, worker, &runs, &given_up, &self.state);
            }
            state::Effect::EndsNoted { worker, ends } => {
                scheduler.ends_noted(now, worker, &ends, &self.state);
            }
            state::Effect::EvacuationChanged(zone) => {
                scheduler.evacuation_changed(now, &zone, &self.state);
            }
            state::Effect::FenceAssigned(_)
            | state::Effect::ZoneOrderSuperseded(_)
            | state::Effect::None => {}
        }
    }

    fn snapshot_if_due(&mut self) {
        let applied = self.state.get_applied();
        let covered = self.replica.snapshot_index().get();
        if applied.saturating_sub(covered) < self.cfg.snapshot_entries {
            return;
        }
        let began = self.cfg.clock.now();
        match self.state.to_snapshot() {
            Ok(data) => {
                let index = id::Index::new(applied);
                if self.replica.snapshot_taken(index, data) {
                    log::info!(target: "group", entry = applied; "a snapshot is taken");
                }
            }
            Err(error) => self.failure = Some(error.to_string()),
        }
        self.load.spent(Part::Snapshot, began, self.cfg.clock.now());
    }
}
