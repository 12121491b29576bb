use comfreymill_types::time;

use super::Scheduler;
use crate::id;
use crate::state;
use crate::worker;

/// Worker that has announced an incarnation that is not in the log yet.
#[derive(Debug)]
pub(super) struct Stranger {
    pub(super) announcement: worker::Announcement,
}

/// # Announcements of workers
impl Scheduler {
    /// Handles an announcement; one of an older incarnation or one overtaken by a newer
    /// announcement is ignored.
    pub fn announced(&mut self, now: time::Monotonic, announcement: worker::Announcement) {
        let known = self.find_life(&announcement);
        if let Some(number) = known {
            self.refresh(now, number, announcement);
            return;
        }
        let is_outdated = self.workers.values().any(|worker| {
            let known = &worker.known.announced;
            let is_same = known.name == announcement.name || known.address == announcement.address;
            is_same && known.born_unix_ms > announcement.born_unix_ms
        });
        if is_outdated {
            log::info!(target: "workers", worker:% = announcement.name, born = announcement.born_unix_ms; "an announcement of an older incarnation is ignored");
            return;
        }
        let stranger = self.strangers.get(&announcement.name);
        let is_asked = stranger.is_some_and(|stranger| {
            stranger.announcement.born_unix_ms == announcement.born_unix_ms
        });
        if !is_asked {
            let announced = Box::new(announcement.clone());
            self.commands.push(state::Command::AddWorker { announced });
        }
        let stranger = Stranger { announcement };
        self.strangers.insert(stranger.announcement.name.clone(), stranger);
    }

    /// Handles a worker incarnation that was added to the log; earlier incarnations with the same
    /// name or address are gone.
    pub fn worker_added(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        known: &state::Worker,
    ) {
        let earlier: Vec<id::WorkerNumber> = self
            .workers
            .iter()
            .filter(|(_, other)| {
                other.known.announced.name == known.announced.name
                    || other.known.announced.address == known.announced.address
            })
            .filter(|(_, other)| other.known.announced.born_unix_ms <= known.announced.born_unix_ms)
            .map(|(number, _)| *number)
            .collect();
        for earlier in earlier {
            self.life_over(now, earlier, "a later incarnation has announced itself");
        }
        let entry = super::worker::WorkerEntry::new(known.clone(), now, now);
        self.workers.insert(number, entry);
        log::info!(target: "workers", worker:% = known.announced.name, number:% = number, address:% = known.announced.address, born = known.announced.born_unix_ms; "a worker is registered");
        if let Some(stranger) = self.strangers.remove(&known.announced.name)
            && stranger.announcement.born_unix_ms == known.announced.born_unix_ms
        {
            self.refresh(now, number, stranger.announcement);
        }
        self.look(now, number);
    }

    /// Handles the departure of a worker; its runs end with it, at the latest when its lease
    /// expires.
    pub fn departed(&mut self, now: time::Monotonic, departure: &worker::Departure) {
        self.strangers.remove(&departure.name);
        let gone: Vec<id::WorkerNumber> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.known.announced.name == departure.name)
            .map(|(number, _)| *number)
            .collect();
        for number in gone {
            let Some(entry) = self.workers.get_mut(&number) else { continue };
            entry.announcement.leaving_in.get_or_insert_default();
            entry.look_at = now;
            log::info!(target: "workers", worker:% = departure.name, number:% = number; "a worker has announced its departure");
        }
    }

    /// Returns the number of the incarnation that sent an announcement, if it is in the log.
    fn find_life(&self, announcement: &worker::Announcement) -> Option<id::WorkerNumber> {
        let same = self.workers.iter().find(|(_, worker)| {
            worker.known.announced.name == announcement.name
                && worker.known.announced.born_unix_ms == announcement.born_unix_ms
        });
        same.map(|(number, _)| *number)
    }

    fn refresh(
        &mut self,
        now: time::Monotonic,
        number: id::WorkerNumber,
        announcement: worker::Announcement,
    ) {
        let cfg = self.cfg;
        let Some(entry) = self.workers.get_mut(&number) else { return };
        let is_outdated =
            entry.has_announced && announcement.sequence <= entry.announcement.sequence;
        if entry.is_over || is_outdated {
            return;
        }
        if let Some(clock_ms) = announcement.clock_ms {
            entry.read_clock(&cfg, clock_ms, now);
        }
        let was_leaving = entry.announcement.leaving_in.is_some();
        let is_leaving = announcement.leaving_in.is_some();
        let is_new = !entry.has_announced;
        entry.announcement = announcement;
        entry.has_announced = true;
        if is_leaving && !was_leaving {
            self.evacuate(now, number);
        }
        self.is_dirty |= is_new || was_leaving != is_leaving;
    }

    /// Stops the long-running tasks on a worker that is leaving, so that they move to other
    /// workers.
    fn evacuate(&mut self, now: time::Monotonic, number: id::WorkerNumber) {
        let Some(entry) = self.workers.get(&number) else { return };
        log::info!(target: "workers", worker:% = entry.known.announced.name, number:% = number, runs = entry.runs.len(); "a worker is leaving");
        let tasks: Vec<id::TaskId> = entry.runs.keys().copied().collect();
        for task in tasks {
            if self.step_spec(task.step).is_some_and(|spec| spec.is_long_running) {
                self.stop(now, number, task);
            }
        }
    }
}
