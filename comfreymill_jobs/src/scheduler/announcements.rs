use std::collections::BTreeSet;

use comfreymill_types::time;

use super::clock_reading;
use super::worker::WorkerEntry;
use super::{Acknowledgement, Scheduler};
use crate::id;
use crate::state;
use crate::worker;

/// Maximum number of workers that have announced themselves to a leader and not answered it: anyone
/// can announce any number of names. Workers answer within moments, so that more than these may
/// start at once.
const MAX_UNANSWERED_WORKERS: usize = 1_024;

/// Worker that has announced an incarnation that is not in the log yet.
#[derive(Debug)]
pub(super) struct PendingWorker {
    pub(super) announcement: worker::Announcement,
    /// When the announcement was received.
    pub(super) received_at: time::Monotonic,
}

/// # Announcements of workers
impl Scheduler {
    /// Handles an announcement and returns when it may be acknowledged; one of an older incarnation
    /// or one overtaken by a newer announcement is ignored.
    ///
    /// A worker that was told that its departure is known must get no task from any later leader, so
    /// the departure is committed first.
    pub fn announced(
        &mut self,
        now: time::Monotonic,
        announcement: worker::Announcement,
    ) -> Acknowledgement {
        let number = self.find_incarnation(&announcement);
        if !self.is_possible(now, number, &announcement) {
            let reason =
                "no worker can have sent it: its start of life or sequence number is too high";
            self.refusals.note(now, &announcement, reason);
            return Acknowledgement::Now;
        }
        if let Some(number) = number {
            if self.is_of_unknown_pool(number, &announcement) {
                let reason = "it names another service than before, and one of no configuration";
                self.refusals.note(now, &announcement, reason);
                return Acknowledgement::Now;
            }
            return self.update_announcement(now, number, announcement);
        }
        let is_leaving = announcement.leaving_in.is_some();
        // One that has not answered may be no worker at all.
        let is_outdated = self.workers.similar(&announcement).any(|(_, worker)| {
            let known = &worker.replicated.announced;
            worker.has_answered && known.born_unix_ms > announcement.born_unix_ms
        });
        if is_outdated || self.departures.supersede(&announcement) {
            log::info!(target: "workers", worker:% = announcement.name, born = announcement.born_unix_ms, sequence = announcement.sequence; "an announcement of an older incarnation, or from before its departure, is ignored");
            return Acknowledgement::Now;
        }
        if let Some(reason) = self.refusal(&announcement) {
            self.refusals.note(now, &announcement, reason);
            return Acknowledgement::Now;
        }
        let pending = self.pending_workers.get(&announcement.name);
        let is_proposed = pending
            .is_some_and(|pending| pending.announcement.born_unix_ms == announcement.born_unix_ms);
        if !is_proposed {
            self.raise_fence_for(&announcement.name);
            let announced = Box::new(announcement.clone());
            self.commands.push(state::Command::AddWorker { announced });
        }
        let pending = PendingWorker { announcement, received_at: now };
        self.pending_workers.insert(pending.announcement.name.clone(), pending);
        if is_leaving { Acknowledgement::OnceAdded } else { Acknowledgement::Now }
    }

    /// Handles the entry of a leaving worker in the log.
    pub fn worker_leaving(&mut self, number: id::WorkerNumber, state: &state::State) {
        if let Some(entry) = self.workers.get_mut(&number) {
            entry.leaving_since = state.get_leaving().get(&number).copied();
        }
    }

    /// Handles a worker incarnation that was added to the log; earlier incarnations with the same
    /// name and address are gone, unless the new one may have runs that were meant for them. They and
    /// those that share only the name or the address are once the later one has answered.
    pub fn worker_added(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        state: &state::State,
    ) {
        let Some(replicated) = state.get_workers().get(&number) else { return };
        let pending = self.pending_workers.get(&replicated.announced.name);
        let pending = pending.filter(|pending| {
            pending.announcement.born_unix_ms == replicated.announced.born_unix_ms
        });
        let reading = pending.and_then(|pending| {
            pending.announcement.clock_ms.map(|clock_ms| (pending.received_at, clock_ms))
        });
        let cfg = self.cfg;
        let mut replaced = Vec::new();
        for earlier in self.earlier_incarnations(&replicated.announced) {
            let Some(entry) = self.workers.get_mut(&earlier) else { continue };
            let known = &entry.replicated.announced;
            let announced = &replicated.announced;
            if known.name == announced.name && known.address == announced.address {
                if let Some((received_at, clock_ms)) = reading {
                    entry.note_next_life(&cfg, received_at, clock_ms);
                }
                replaced.push(earlier);
            } else {
                entry.next_poll_at = now;
                log::info!(target: "workers", worker:% = known.name, number:% = earlier, other:% = announced.name, address:% = announced.address; "a later worker has the name or address of a worker: the one that answers is kept");
                self.poll(now, earlier);
            }
        }
        let announced = &replicated.announced;
        let leaving_since = announced.leaving_in.map(|_| announced.sequence);
        let mut entry = WorkerEntry::new(replicated.clone(), leaving_since, now, now);
        entry.registered_at = Some(now);
        entry.is_restarted = state.is_restarted(number);
        entry.is_evacuated = self.is_closed(&announced.zone);
        self.workers.insert(number, entry);
        self.locality.workers_changed();
        for earlier in replaced {
            let reason = "a later incarnation has announced itself";
            self.other_incarnation_noticed(now, earlier, reason);
        }
        log::info!(target: "workers", worker:% = replicated.announced.name, number:% = number, address:% = replicated.announced.address, born = replicated.announced.born_unix_ms; "a worker is registered");
        if let Some(pending) = self.pending_workers.remove(&replicated.announced.name)
            && pending.announcement.born_unix_ms == replicated.announced.born_unix_ms
        {
            // A departure is committed with the next announcement, which is not acknowledged before.
            let _ = self.update_announcement(now, number, pending.announcement);
        }
        self.poll(now, number);
    }

    /// Removes the earlier incarnations with the name or address of a worker that has answered.
    pub(super) fn replace_earlier(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        asked_at: time::Monotonic,
        report: &worker::Report,
    ) {
        let Some(entry) = self.workers.get(&number) else { return };
        let name = entry.replicated.announced.name.clone();
        for earlier in self.earlier_incarnations(&entry.replicated.announced) {
            if earlier == number {
                continue;
            }
            let entry = self.workers.get(&earlier);
            if entry.is_some_and(|entry| entry.replicated.announced.name == name) {
                self.take_over(now, earlier, number, asked_at, report);
            }
            self.worker_gone(now, earlier, "a later incarnation answers");
        }
    }

    /// Returns the incarnations with the name or address of `announced` that began no later.
    fn earlier_incarnations(&self, announced: &worker::Announcement) -> BTreeSet<id::WorkerNumber> {
        let similar = self
            .workers
            .similar(announced)
            .filter(|(_, other)| other.replicated.announced.born_unix_ms <= announced.born_unix_ms);
        similar.map(|(number, _)| number).collect()
    }

    /// Handles the departure of a worker; its runs end with it, at the latest when its lease
    /// expires. Returns the command to commit before it is acknowledged, if there is one.
    ///
    /// A departure does not say which incarnation it is of, and may arrive when the next one is
    /// registered. So it takes effect on an incarnation that has said that it is leaving; any other is
    /// not used before it has answered a poll.
    pub fn departed(
        &mut self,
        now: time::Monotonic,
        departure: &worker::Departure,
    ) -> Option<state::Command> {
        self.pending_workers.remove(&departure.name);
        let gone = self.workers.named(&departure.name);
        let gone: Vec<id::WorkerNumber> = gone.map(|(number, _)| number).collect();
        let mut command = None;
        for number in gone {
            let Some(entry) = self.workers.get_mut(&number) else { continue };
            let is_leaving = entry.announcement.leaving_in.is_some();
            log::info!(target: "workers", worker:% = departure.name, number:% = number, is_leaving; "a worker has announced its departure");
            if !is_leaving {
                self.poll_failed(now, number, "it, or an earlier incarnation, has departed");
                self.poll(now, number);
                continue;
            }
            entry.has_departed = true;
            entry.next_poll_at = now;
            if let Acknowledgement::Committed(mark) = entry.departure_acknowledgement(number) {
                command = Some(mark);
            }
        }
        command
    }

    /// Returns whether a worker can have sent an announcement by now. One from another writer must
    /// take nothing from the workers that it looks like.
    fn is_possible(
        &self,
        now: time::Monotonic,
        number: Option<id::WorkerNumber>,
        announcement: &worker::Announcement,
    ) -> bool {
        let unix_ms = clock_reading::millis(self.since_1970(now));
        let entry = number.and_then(|number| self.workers.get(&number));
        let last = entry.map_or(0, |entry| entry.announcement.sequence);
        // The leader's time of day may have been set back since an incarnation was registered.
        let has_begun = entry.is_some() || announcement.has_begun(unix_ms);
        has_begun && announcement.has_possible_count(announcement.sequence, last, unix_ms)
    }

    /// Returns why an incarnation that is not in the log is not added to it, if it is not. A worker
    /// announces itself again and again.
    fn refusal(&self, announcement: &worker::Announcement) -> Option<&'static str> {
        if !self.is_pool_named(&announcement.pool) {
            return Some("the configuration names no such service");
        }
        let is_pending = self.pending_workers.contains_key(&announcement.name);
        let unanswered = self.workers.values().filter(|entry| entry.is_unanswered()).count();
        let is_full = unanswered + self.pending_workers.len() >= MAX_UNANSWERED_WORKERS;
        (is_full && !is_pending).then_some("too many workers have not answered yet")
    }

    /// Returns whether the configuration names a pool, or there is none yet.
    fn is_pool_named(&self, pool: &str) -> bool {
        let has_queue = self.routes.queues.iter().any(|queue| queue.pool == pool);
        self.routes.pools.is_empty() || has_queue || self.routes.pool(pool).is_some()
    }

    /// Returns whether an announcement moves an incarnation to a pool that no configuration names: the
    /// worker did not send it. A worker whose own pool was removed still announces itself with it.
    fn is_of_unknown_pool(
        &self,
        number: id::WorkerNumber,
        announcement: &worker::Announcement,
    ) -> bool {
        let known = self.workers.get(&number).map(|entry| &entry.replicated.announced.pool);
        known.is_some_and(|known| *known != announcement.pool)
            && !self.is_pool_named(&announcement.pool)
    }

    /// Returns the number of the incarnation that sent an announcement, if it is in the log.
    fn find_incarnation(&self, announcement: &worker::Announcement) -> Option<id::WorkerNumber> {
        let mut named = self.workers.named(&announcement.name);
        let same = named.find(|(_, worker)| {
            worker.replicated.announced.born_unix_ms == announcement.born_unix_ms
        });
        same.map(|(number, _)| number)
    }

    fn update_announcement(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        announcement: worker::Announcement,
    ) -> Acknowledgement {
        let is_closed = self.is_closed(&announcement.zone);
        let Some(entry) = self.workers.get_mut(&number) else { return Acknowledgement::Now };
        let sequence = announcement.sequence;
        let is_outdated = (entry.has_announced && sequence <= entry.announcement.sequence)
            || entry.leaving_since.is_some_and(|since| sequence < since);
        if entry.is_gone || is_outdated {
            return entry.departure_acknowledgement(number);
        }
        let was_leaving = entry.announcement.leaving_in.is_some();
        let is_leaving = announcement.leaving_in.is_some();
        let is_new = !entry.has_announced;
        // A new leader places tasks by the capacity in the log until it hears from the worker.
        let capacity = announcement.capacity;
        let has_resized = entry.replicated.announced.capacity != capacity;
        if has_resized {
            entry.replicated.announced.capacity = capacity;
            entry.revision += 1;
            log::info!(target: "workers", worker:% = entry.replicated.announced.name, number:% = number, cpu = capacity.cpu_milli, mem = capacity.mem_mb, gpus = capacity.gpus; "a worker's capacity has changed");
            self.commands.push(state::Command::SetCapacity { worker: number, capacity });
        }
        if entry.announcement.zone != announcement.zone {
            entry.is_evacuated = is_closed;
        }
        // The next leader has to know whether the worker is in an evacuated zone.
        if entry.replicated.announced.zone != announcement.zone {
            let zone = announcement.zone.clone();
            entry.replicated.announced.zone.clone_from(&zone);
            log::info!(target: "workers", worker:% = entry.replicated.announced.name, number:% = number, zone:% = zone, is_evacuated = entry.is_evacuated; "a worker's zone has changed");
            self.commands.push(state::Command::SetZone { worker: number, zone });
        }
        let is_moved = entry.announcement.labels != announcement.labels;
        entry.announcement = announcement;
        entry.has_announced = true;
        // A worker sends nothing after its departure.
        entry.has_departed = false;
        let acknowledgement = entry.departure_acknowledgement(number);
        if is_leaving && !was_leaving {
            log::info!(target: "workers", worker:% = entry.replicated.announced.name, number:% = number, runs = entry.runs.len(); "a worker is leaving");
        }
        if is_leaving {
            self.evacuate(now, number);
        }
        if is_new || is_moved || was_leaving != is_leaving {
            self.locality.workers_changed();
        }
        self.needs_placement |= is_new || is_moved || has_resized || was_leaving != is_leaving;
        acknowledgement
    }

    /// Stops the long-running tasks on a worker that is leaving, so that they move to other
    /// workers.
    pub(super) fn evacuate(&mut self, now: time::Monotonic, number: id::WorkerNumber) {
        let Some(entry) = self.workers.get(&number) else { return };
        let tasks: Vec<id::TaskId> = entry.runs.keys().copied().collect();
        for task in tasks {
            if self.step_spec(task.step).is_some_and(|spec| spec.is_long_running) {
                self.stop(now, number, task);
            }
        }
    }
}
