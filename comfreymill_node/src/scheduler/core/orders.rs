use std::time::Duration;

use comfreymill_types::time;

use super::core::Core;
use super::load::Part;
use crate::scheduler::orders::Receiver;
use crate::scheduler::turns;

/// # Orders
impl Core {
    /// Places tasks if a part of a round is due, sends the resulting orders to workers and queues the
    /// commands to propose.
    pub(super) fn issue_orders(&mut self) {
        turns::give_orders(self);
    }

    /// Returns the time until tasks may be placed that the last turn left or made ready; the maximum
    /// if there are none.
    pub(super) fn placement_wait(&self, now: time::Monotonic) -> Duration {
        let leadership = self.leadership.as_ref().filter(|_| self.is_serving(now));
        let is_due =
            leadership.is_some_and(|leadership| leadership.scheduler.is_placement_due(now));
        if is_due { self.placement.remaining(now) } else { Duration::MAX }
    }
}

impl turns::Leading for Core {
    fn now(&self) -> time::Monotonic {
        self.cfg.clock.now()
    }

    fn is_serving(&self, now: time::Monotonic) -> bool {
        Self::is_serving(self, now)
    }

    fn place(&mut self, began: time::Monotonic) {
        let Some(leadership) = &mut self.leadership else { return };
        // A turn without anything to place does not put off the tasks that the next one makes ready.
        if self.placement.is_due(began) && leadership.scheduler.is_placement_due(began) {
            leadership.scheduler.place(began);
            let now = self.cfg.clock.now();
            self.placement.done(began, now);
            self.load.spent(Part::Placement, began, now);
        }
    }

    fn send_orders(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        let workers = self.state.get_workers().len();
        for order in leadership.scheduler.take_orders() {
            let Some(worker) = leadership.scheduler.worker(order.worker()) else { continue };
            let announced = &worker.announced;
            let fence = leadership.scheduler.get_fence();
            let receiver = Receiver { name: &announced.name, address: announced.address, fence };
            leadership.order_sender.send(order, &receiver, workers);
        }
        self.commands.extend(leadership.scheduler.take_commands());
    }
}
