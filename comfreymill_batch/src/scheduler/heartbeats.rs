use comfreymill_types::id;
use comfreymill_types::size;
use comfreymill_types::time;

use super::Scheduler;
use crate::action;
use crate::event;
use crate::fleet;
use crate::task;

/// # Heartbeats
impl Scheduler {
    pub(super) fn on_heartbeat(&mut self, heartbeat: &event::Heartbeat) {
        let index = self.fleet.intern(&heartbeat.worker, heartbeat.incarnation, self.now);
        if !self.accept(index, heartbeat) {
            return;
        }
        let old_room = self.fleet.get(index).get_room();
        self.update_worker(index, heartbeat);
        self.end_earlier_incarnations(index);
        for report in &heartbeat.attempts {
            self.on_report(index, report);
        }
        self.end_missing_attempts(index, heartbeat);
        self.observe_use(index, heartbeat);
        self.make_room_for_executors(index);
        if heartbeat.leaving {
            self.on_leaving(&heartbeat.worker);
        }
        self.reindex(index);
        let room = self.fleet.get(index).get_room();
        if !room.fits_in(&old_room) {
            self.after_release(index);
        }
    }

    /// Accepts the heartbeat if it is newer than all handled so far. One with a smaller incarnation
    /// is accepted only if the worker was silent for longer than its lease.
    fn accept(&mut self, index: fleet::WorkerIndex, heartbeat: &event::Heartbeat) -> bool {
        let bound = self.cfg.get_lease_bound();
        let now = self.now;
        let worker = self.fleet.get_mut(index);
        if heartbeat.incarnation == worker.incarnation {
            if worker.has_reported && heartbeat.sequence <= worker.sequence {
                return false;
            }
        } else if heartbeat.incarnation < worker.incarnation {
            let silent = now.since(worker.last_heartbeat_at) > bound;
            if !silent {
                return false;
            }
        }
        let has_restarted = heartbeat.incarnation != worker.incarnation;
        if has_restarted {
            worker.leaving = false;
        }
        worker.incarnation = heartbeat.incarnation;
        worker.sequence = heartbeat.sequence;
        worker.last_heartbeat_at = now;
        true
    }

    /// Updates the worker's location, capacity, executors and services.
    fn update_worker(&mut self, index: fleet::WorkerIndex, heartbeat: &event::Heartbeat) {
        let moved = {
            let worker = self.fleet.get(index);
            worker.region.as_ref() != Some(&heartbeat.region)
                || worker.zone.as_ref() != Some(&heartbeat.zone)
        };
        if moved {
            self.fleet.unindex(index);
        }
        let worker = self.fleet.get_mut(index);
        worker.has_reported = true;
        if moved {
            worker.region = Some(heartbeat.region.clone());
            worker.zone = Some(heartbeat.zone.clone());
        }
        if worker.rack.as_ref() != Some(&heartbeat.rack) {
            worker.rack = Some(heartbeat.rack.clone());
        }
        let executors = heartbeat
            .executors
            .iter()
            .fold(size::Resources::ZERO, |sum, executor| sum + executor.reserved);
        let has_new_shape = self.fleet.set_shape(index, heartbeat.capacity, executors);
        self.set_services(index, &heartbeat.executors);
        if has_new_shape {
            self.unpark_fitting();
        }
    }

    fn set_services(&mut self, index: fleet::WorkerIndex, executors: &[event::ExecutorReport]) {
        let mut services: Vec<fleet::ServiceLoad> = Vec::new();
        for executor in executors {
            let service = self.model.intern(&executor.service);
            if services.iter().any(|load| load.service == service) {
                continue;
            }
            let old = self.fleet.get(index).services.iter().find(|load| load.service == service);
            let slowdown = old.map_or(1.0, |load| load.slowdown);
            services.push(fleet::ServiceLoad { service, slowdown });
        }
        let is_first = self.fleet.get(index).services.is_empty() && !services.is_empty();
        self.fleet.get_mut(index).services = services;
        if is_first {
            self.refresh_mix(index);
        }
    }

    /// Ends the attempts of earlier incarnations, which a restarted worker does not run.
    fn end_earlier_incarnations(&mut self, index: fleet::WorkerIndex) {
        let worker = self.fleet.get(index);
        let incarnation = worker.incarnation;
        let orphaned: Vec<(id::TaskId, bool)> = worker
            .tasks
            .iter()
            .filter_map(|id| self.tasks.get(id)?.attempt())
            .filter(|attempt| attempt.incarnation < incarnation && attempt.is_started())
            .map(|attempt| (attempt.id.task, attempt.offered))
            .collect();
        for (id, may_have_begun) in orphaned {
            self.end(id, action::Outcome::Lost { may_have_begun }, None);
        }
    }

    fn on_report(&mut self, index: fleet::WorkerIndex, report: &event::AttemptReport) {
        let now = self.now;
        let incarnation = self.fleet.get(index).incarnation;
        let Some(task) = self.tasks.get_mut(&report.attempt.task) else { return };
        let recorded = task.get_checkpoint_sequence();
        let Some(attempt) = task.attempt_mut() else { return };
        let is_current = attempt.id == report.attempt
            && attempt.worker == index
            && attempt.incarnation == incarnation
            && attempt.is_started();
        if !is_current {
            return;
        }
        attempt.reported = true;
        attempt.offered = true;
        if report.state == event::AttemptState::Running && attempt.running_since.is_none() {
            attempt.running_since = Some(now);
        }
        let outcome = match &report.state {
            event::AttemptState::Starting | event::AttemptState::Running => {
                self.propose_checkpoint(report, recorded);
                return;
            }
            event::AttemptState::Finished => action::Outcome::Finished,
            event::AttemptState::Failed { reason, progress } => {
                action::Outcome::Failed { reason: reason.clone(), progress: *progress }
            }
            event::AttemptState::Stopped { progress } => {
                action::Outcome::Stopped { progress: *progress }
            }
        };
        self.end(report.attempt.task, outcome, report.checkpoint.clone());
    }

    fn propose_checkpoint(&mut self, report: &event::AttemptReport, recorded: u64) {
        let Some(checkpoint) = &report.checkpoint else { return };
        let Some(task) = self.tasks.get_mut(&report.attempt.task) else { return };
        let Some(attempt) = task.attempt_mut() else { return };
        if checkpoint.sequence <= recorded.max(attempt.proposed_checkpoint) {
            return;
        }
        attempt.proposed_checkpoint = checkpoint.sequence;
        self.actions.push(action::Action::RecordCheckpoint {
            attempt: report.attempt,
            checkpoint: checkpoint.clone(),
        });
    }

    /// Ends the attempts that this incarnation of the worker reported before and no longer reports.
    fn end_missing_attempts(&mut self, index: fleet::WorkerIndex, heartbeat: &event::Heartbeat) {
        let listed: std::collections::HashSet<id::AttemptId> =
            heartbeat.attempts.iter().map(|report| report.attempt).collect();
        let missing: Vec<id::TaskId> = self
            .fleet
            .get(index)
            .tasks
            .iter()
            .filter_map(|id| self.tasks.get(id)?.attempt())
            .filter(|attempt| attempt.is_started() && attempt.reported)
            .filter(|attempt| !listed.contains(&attempt.id))
            .map(|attempt| attempt.id.task)
            .collect();
        for id in missing {
            self.end(id, action::Outcome::Lost { may_have_begun: true }, None);
        }
    }

    /// Updates the measured use of the worker and the estimates of classes and jobs. An attempt
    /// that began after the measurement counts with its reservation.
    fn observe_use(&mut self, index: fleet::WorkerIndex, heartbeat: &event::Heartbeat) {
        let measured_at = time::Monotonic::from_micros(
            self.now.as_micros().saturating_sub(heartbeat.usage_age.as_micros() as u64),
        );
        for report in &heartbeat.attempts {
            let Some(usage) = &report.usage else { continue };
            let Some(task) = self.tasks.get_mut(&report.attempt.task) else { continue };
            let spec = self.catalog.class(task.class).spec.as_ref();
            let declared = task.declared.or(spec.map(|spec| spec.batch.size));
            let class = task.class;
            let Some(attempt) = task.attempt_mut() else { continue };
            let measured = attempt.running_since.is_some_and(|since| since < measured_at);
            if attempt.id != report.attempt || attempt.worker != index || !measured {
                continue;
            }
            attempt.observed = *usage;
            let at_full_speed = attempt.directive == action::Directive::Run;
            if let Some(declared) = declared.filter(|_| at_full_speed) {
                self.catalog.class_mut(class).estimate.observe_use(&declared, usage);
                if let Some(job) = self.jobs.get_mut(&report.attempt.task.job) {
                    job.estimate.observe_use(&declared, usage);
                }
            }
        }
        let executors = heartbeat.executors.iter().fold(size::Resources::ZERO, |sum, executor| {
            sum + executor.usage.unwrap_or(executor.reserved)
        });
        let attempts = self
            .fleet
            .get(index)
            .tasks
            .iter()
            .filter_map(|id| self.tasks.get(id)?.attempt())
            .fold(size::Resources::ZERO, |sum, attempt| sum + attempt.observed);
        self.fleet.get_mut(index).observed = executors + attempts;
    }

    /// Evicts attempts when executors and attempts no longer fit together, since executors are
    /// placed on the worker without asking this scheduler.
    fn make_room_for_executors(&mut self, index: fleet::WorkerIndex) {
        let worker = self.fleet.get(index);
        let over = (worker.executors + worker.reserved).saturating_sub(&worker.capacity);
        if over == size::Resources::ZERO {
            return;
        }
        let mut excess = over;
        let mut victims: Vec<&task::Task> = worker
            .tasks
            .iter()
            .filter_map(|id| self.tasks.get(id))
            .filter(|task| task.attempt().is_some())
            .collect();
        victims.sort_by_key(|task| {
            let stays = task.attempt().is_some_and(|attempt| !attempt.is_leaving());
            (stays, self.catalog.class(task.class).get_priority(), task.id)
        });
        let mut chosen = Vec::new();
        for task in victims {
            if excess == size::Resources::ZERO {
                break;
            }
            if let Some(attempt) = task.attempt() {
                excess = excess.saturating_sub(&attempt.reserved);
                chosen.push(task.id);
            }
        }
        for id in chosen {
            let why = "executors on the worker need its room";
            self.checkpoint_and_stop(id, action::StopReason::Evicted, why);
        }
    }
}
