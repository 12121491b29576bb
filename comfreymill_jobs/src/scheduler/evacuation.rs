//! Evacuation of availability zones.
//!
//! Load pattern: an operator empties a zone before work on its machines, under any load, and takes
//! it back later, when its workers may be cold. No task starts in the zone from the commit of the
//! order on. Its capacity returns in steps, so that a burst does not meet a whole zone of cold
//! workers at once.

use std::time::Duration;

use comfreymill_types::time;

use super::Scheduler;
use super::worker::WorkerEntry;
use crate::id;
use crate::state;

/// Number of steps in which the workers of a zone get tasks again.
const RETURN_STEPS: u32 = 4;
/// Time between two of these steps; most tasks take 1 to 3 s.
const RETURN_STEP: Duration = Duration::from_millis(750);

/// Leader's state of an availability zone that does not get its full load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ZonePhase {
    /// The zone is evacuated.
    Evacuated {
        /// Time from which on tasks move although there is no room to spare.
        impatient_at: time::Monotonic,
    },
    /// The evacuation was withdrawn, and the workers get tasks again in steps.
    Returning {
        /// Number of steps that were made.
        steps: u32,
        /// Time of the next step.
        next_at: time::Monotonic,
    },
}

/// What is left in an availability zone that does not get its full load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneReport {
    /// Name of the zone.
    pub zone: id::ZoneName,
    /// Whether the evacuation was withdrawn and the workers get tasks again in steps.
    pub is_returning: bool,
    /// Number of workers.
    pub workers: u64,
    /// Number of workers that get no tasks.
    pub closed: u64,
    /// Number of runs.
    pub runs: u64,
    /// Number of runs that last until their jobs are cancelled.
    pub long_running: u64,
}

/// # Evacuation of availability zones
impl Scheduler {
    /// Handles a committed order about a zone.
    pub fn evacuation_changed(
        &mut self,
        now: time::Monotonic,
        zone: &id::ZoneName,
        state: &state::State,
    ) {
        let record = state.get_evacuations().get(zone);
        if record.is_some_and(|record| record.evacuated.is_some()) {
            let impatient_at = now + self.cfg.get_evacuation_patience();
            let phase = ZonePhase::Evacuated { impatient_at };
            self.zones.insert(zone.clone(), phase);
            self.close_workers(zone);
            let report = self.zone_report(zone, phase);
            log::warn!(target: "evacuations", zone:% = zone, workers = report.workers, runs = report.runs, lasting = report.long_running; "a zone is evacuated: no task starts there");
        } else if self.zones.contains_key(zone) {
            self.zones.insert(zone.clone(), ZonePhase::Returning { steps: 0, next_at: now });
            log::warn!(target: "evacuations", zone:% = zone; "the evacuation of a zone is withdrawn: its workers get tasks again in steps");
            self.advance_returns(now);
        }
    }

    /// Returns what is left in each zone that does not get its full load.
    pub fn zone_reports(&self) -> Vec<ZoneReport> {
        self.zones.iter().map(|(zone, phase)| self.zone_report(zone, *phase)).collect()
    }

    /// Restores the zones from the replicated state. The leader that saw a withdrawal may have made
    /// some steps of the return; after a recent one they are made anew.
    pub(super) fn restore_zones(
        &mut self,
        now: time::Monotonic,
        since_1970: Duration,
        state: &state::State,
    ) {
        let steps = RETURN_STEP * RETURN_STEPS;
        for (zone, record) in state.get_evacuations().iter() {
            // The clocks of machines differ, so a recent withdrawal may seem to be yet to come.
            let is_recent = record.withdrawn.as_ref().is_some_and(|withdrawn| {
                Duration::from_millis(withdrawn.unix_ms).abs_diff(since_1970) < steps
            });
            let phase = match &record.evacuated {
                Some(request) => {
                    let age = since_1970.saturating_sub(Duration::from_millis(request.unix_ms));
                    let patience = self.cfg.get_evacuation_patience().saturating_sub(age);
                    ZonePhase::Evacuated { impatient_at: now + patience }
                }
                None if is_recent => ZonePhase::Returning { steps: 0, next_at: now },
                None => continue,
            };
            self.close_workers(zone);
            log::info!(target: "evacuations", zone:% = zone, phase:? = phase; "the evacuation of a zone is known from the log");
            self.zones.insert(zone.clone(), phase);
        }
    }

    /// Returns whether a worker that announces itself in a zone gets no tasks yet. During a return
    /// it waits for the next step, since it may have come back cold.
    pub(super) fn is_closed(&self, zone: &str) -> bool {
        self.zones.keys().any(|closed| closed.as_str() == zone)
    }

    /// Returns whether any zone is evacuated.
    pub(super) fn has_evacuated_zone(&self) -> bool {
        self.evacuated_zones().next().is_some()
    }

    /// Iterates over the zones that are evacuated.
    pub(super) fn evacuated_zones(&self) -> impl Iterator<Item = &id::ZoneName> {
        let is_evacuated = |phase: &ZonePhase| matches!(phase, ZonePhase::Evacuated { .. });
        self.zones.iter().filter(move |(_, phase)| is_evacuated(phase)).map(|(zone, _)| zone)
    }

    /// Returns whether any zone has been evacuated for so long that its tasks move although there
    /// is no room to spare.
    pub(super) fn has_patience_ended(&self, now: time::Monotonic) -> bool {
        self.zones.values().any(
            |phase| matches!(phase, ZonePhase::Evacuated { impatient_at } if now >= *impatient_at),
        )
    }

    /// Makes the steps of the returns that are due.
    pub(super) fn advance_returns(&mut self, now: time::Monotonic) {
        let is_due = |phase: &ZonePhase| match phase {
            ZonePhase::Evacuated { .. } => None,
            ZonePhase::Returning { steps, next_at } => (now >= *next_at).then_some(*steps + 1),
        };
        let due =
            self.zones.iter().filter_map(|(zone, phase)| Some((zone.clone(), is_due(phase)?)));
        let due: Vec<(id::ZoneName, u32)> = due.collect();
        for (zone, step) in due {
            self.open_workers(&zone, step);
            if step < RETURN_STEPS {
                let next_at = now + RETURN_STEP;
                self.zones.insert(zone, ZonePhase::Returning { steps: step, next_at });
            } else {
                self.zones.remove(&zone);
            }
        }
    }

    /// Lets no worker of a zone get tasks.
    fn close_workers(&mut self, zone: &id::ZoneName) {
        let workers = self.workers.iter().filter(|(_, worker)| worker.is_in(zone));
        let numbers: Vec<id::WorkerNumber> = workers.map(|(number, _)| *number).collect();
        for number in numbers {
            if let Some(worker) = self.workers.get_mut(&number) {
                worker.is_evacuated = true;
            }
        }
        self.locality.workers_changed();
    }

    /// Lets workers of a zone get tasks again, until as many do as in step number `step`.
    fn open_workers(&mut self, zone: &id::ZoneName, step: u32) {
        let workers = self.workers.values().filter(|worker| worker.is_in(zone));
        let (total, closed) = workers.fold((0_usize, 0_usize), |(total, closed), worker| {
            (total + 1, closed + usize::from(worker.is_evacuated))
        });
        let wanted = (total * step as usize).div_ceil(RETURN_STEPS as usize);
        let missing = wanted.saturating_sub(total - closed);
        let closed = self.workers.iter();
        let closed = closed.filter(|(_, worker)| worker.is_evacuated && worker.is_in(zone));
        let opened: Vec<id::WorkerNumber> =
            closed.map(|(number, _)| *number).take(missing).collect();
        for number in opened {
            if let Some(worker) = self.workers.get_mut(&number) {
                worker.is_evacuated = false;
            }
        }
        self.locality.workers_changed();
        self.needs_placement = true;
        log::info!(target: "evacuations", zone:% = zone, step, workers = total, open = wanted; "workers of a zone get tasks again");
    }

    fn zone_report(&self, zone: &id::ZoneName, phase: ZonePhase) -> ZoneReport {
        let mut report = ZoneReport {
            zone: zone.clone(),
            is_returning: matches!(phase, ZonePhase::Returning { .. }),
            workers: 0,
            closed: 0,
            runs: 0,
            long_running: 0,
        };
        for worker in self.workers.values().filter(|worker| worker.is_in(zone)) {
            report.workers += 1;
            report.closed += u64::from(worker.is_evacuated);
            report.runs += worker.runs.len() as u64;
            let long_running = worker.runs.values().filter(|run| run.is_long_running);
            report.long_running += long_running.count() as u64;
        }
        report
    }
}

impl WorkerEntry {
    /// Returns whether the worker is in a zone.
    pub(super) fn is_in(&self, zone: &id::ZoneName) -> bool {
        self.announcement.zone == zone.as_str()
    }
}
