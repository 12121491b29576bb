use comfreymill_types::id;

use super::Scheduler;
use crate::action;
use crate::decision;
use crate::task;

/// # Parked tasks
impl Scheduler {
    /// Proposes to park a task.
    pub(super) fn park(&mut self, id: id::TaskId, reason: action::ParkReason) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if let task::Phase::Waiting(lane) = task.phase {
            self.queue.remove(lane, task.order, id);
        }
        task.phase = task::Phase::Parking(reason.clone());
        self.actions.push(action::Action::Park { task: id, reason: reason.clone() });
        let remedy = reason.get_remedy();
        let text = reason.to_string();
        self.record(id, decision::Verdict::Park(reason), text, remedy);
    }

    /// Parks a task whose last attempt was ended and parked by one commit.
    pub(super) fn set_parked(&mut self, id: id::TaskId, reason: action::ParkReason) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        task.phase = task::Phase::Parked(reason.clone());
        let remedy = reason.get_remedy();
        let text = reason.to_string();
        self.record(id, decision::Verdict::Park(reason), text, remedy);
    }

    pub(super) fn on_parked(&mut self, id: id::TaskId, reason: action::ParkReason) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        match task.phase {
            task::Phase::Parking(_) => {}
            task::Phase::Waiting(lane) => self.queue.remove(lane, task.order, id),
            task::Phase::Delayed(due) => {
                self.delayed.remove(&(due, id));
            }
            task::Phase::Active(_) | task::Phase::Parked(_) => return,
        }
        if reason.unparks_automatically() {
            self.parked_for_size.insert(id);
        }
        task.phase = task::Phase::Parked(reason);
    }

    /// Proposes to unpark the tasks for which a worker or quota is now large enough.
    pub(super) fn unpark_fitting(&mut self) {
        let fitting: Vec<id::TaskId> =
            self.parked_for_size.iter().copied().filter(|id| self.fits_now(*id)).collect();
        for id in fitting {
            self.parked_for_size.remove(&id);
            self.actions.push(action::Action::Unpark { task: id });
            let reason = "the fleet or the quota now allows its size".to_owned();
            self.record(id, decision::Verdict::Unpark, reason, String::new());
        }
    }

    pub(super) fn on_unparked(&mut self, id: id::TaskId) {
        self.parked_for_size.remove(&id);
        let Some(task) = self.tasks.get_mut(&id) else { return };
        if task.park_reason().is_none() {
            return;
        }
        task.waiting_since = self.now;
        self.enqueue(id);
    }

    fn fits_now(&self, id: id::TaskId) -> bool {
        let Some(task) = self.tasks.get(&id) else { return false };
        let Some(spec) = &self.catalog.class(task.class).spec else { return false };
        let declared = self.get_declared(task);
        let quota = self.catalog.team(task.team).quota;
        let within_quota = quota.is_none_or(|quota| declared.fits_in(&quota));
        within_quota && self.fleet.can_ever_hold(&spec.rule, &declared)
    }
}
