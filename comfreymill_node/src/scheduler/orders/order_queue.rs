use std::collections::VecDeque;
use std::time::Duration;

use comfreymill_jobs::id;
use comfreymill_jobs::scheduler;
use comfreymill_types::time;

use super::lane::Lane;
use super::queued_order::QueuedOrder;

/// Time for which a stop waits for the connections in use before another one is opened. Usual
/// answers take less, and with those that do not come a stop still leaves within the seconds that
/// callers who cancel a job allow.
const STOP_PATIENCE: Duration = Duration::from_millis(200);
/// Maximum number of extra lanes of a worker.
const MAX_EXTRA_LANES: usize = 4;

/// Orders of a worker: which is sent next.
///
/// **Load pattern:** a worker leaves orders unanswered, and each holds its connection until the
/// answer times out. Stops would wait behind all orders before them, and each wait would add their
/// retries. So stops go before all other orders, an order replaces earlier ones for the same run
/// that have not been sent, and stops that still wait get connections of their own.
///
/// An order that has left the queue is never sent again.
#[derive(Debug)]
pub struct OrderQueue {
    /// Number of lanes that are always there.
    kept_lanes: usize,
    extra_lanes: usize,
    /// Orders that have not been sent, longest wait first.
    waiting: VecDeque<QueuedOrder>,
    /// Orders that are being sent or whose answers are awaited.
    in_flight: Vec<InFlight>,
    /// Number of kept lanes that prepare to send an order.
    kept_claims: usize,
    extra_claims: usize,
}

/// Run that an order in flight concerns.
#[derive(Debug, PartialEq)]
struct InFlight {
    run: Option<(id::TaskId, id::Run)>,
    is_stop: bool,
}

impl InFlight {
    fn new(order: &scheduler::Order) -> Self {
        Self { run: order.run(), is_stop: is_stop(order) }
    }
}

impl OrderQueue {
    /// Creates an empty queue that `kept_lanes` lanes serve all the time.
    pub fn new(kept_lanes: usize) -> Self {
        Self {
            kept_lanes,
            extra_lanes: 0,
            waiting: VecDeque::new(),
            in_flight: Vec::new(),
            kept_claims: 0,
            extra_claims: 0,
        }
    }

    /// Adds an order; returns the orders that it makes pointless, which are not sent any more.
    ///
    /// A stop replaces all waiting orders for its run, a pace those of the same kind.
    pub fn push(&mut self, mut queued: QueuedOrder) -> Vec<QueuedOrder> {
        let mut dropped = Vec::new();
        let order = &queued.order;
        let mut position = None;
        let mut index = 0;
        while index < self.waiting.len() {
            if !replaces(order, &self.waiting[index].order) {
                index += 1;
                continue;
            }
            let Some(earlier) = self.waiting.remove(index) else { break };
            if is_same_kind(order, &earlier.order) {
                queued.queued_at = earlier.queued_at;
                position = Some(index);
            }
            dropped.push(earlier);
        }
        let position = position.unwrap_or(self.waiting.len()).min(self.waiting.len());
        self.waiting.insert(position, queued);
        dropped
    }

    /// Removes and returns the orders that must not be sent any more at `now`, wherever they wait.
    pub fn take_expired(&mut self, now: time::Monotonic) -> Vec<QueuedOrder> {
        let mut expired = Vec::new();
        self.waiting.retain(|queued| {
            let has_expired = queued.order.has_expired(now);
            if has_expired {
                expired.push(queued.clone());
            }
            !has_expired
        });
        expired
    }

    /// Drops all orders that were not sent.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Adds an extra lane if one is needed; returns whether it was added.
    ///
    /// One is needed while the orders in flight leave fewer lanes than stops may be sent.
    pub fn add_extra_lane(&mut self) -> bool {
        let stops = self.sendable_stops().count();
        let lanes = self.kept_lanes + self.extra_lanes;
        let is_needed =
            stops > 0 && self.in_flight.len() + stops > lanes && self.extra_lanes < MAX_EXTRA_LANES;
        self.extra_lanes += usize::from(is_needed);
        is_needed
    }

    /// Removes an extra lane.
    pub fn remove_extra_lane(&mut self) {
        self.extra_lanes = self.extra_lanes.saturating_sub(1);
    }

    /// Returns the time at which an extra lane is to be used, unless no stop is left for it.
    pub fn extra_due_at(&self) -> Option<time::Monotonic> {
        let mut stops = self.sendable_stops().skip(self.extra_claims);
        stops.next().map(|stop| stop.queued_at + STOP_PATIENCE)
    }

    /// Returns whether `lane` should get a connection ready at `now`, since there is an order for
    /// which no other lane does so; it then calls [`Self::take`].
    pub fn claim(&mut self, lane: Lane, now: time::Monotonic) -> bool {
        match lane {
            Lane::Kept => {
                let mut sendable = (0..self.waiting.len()).filter(|index| self.is_sendable(*index));
                let is_left = sendable.nth(self.kept_claims).is_some();
                self.kept_claims += usize::from(is_left);
                is_left
            }
            Lane::Extra => {
                let is_due = self.extra_due_at().is_some_and(|due| now >= due);
                self.extra_claims += usize::from(is_due);
                is_due
            }
        }
    }

    /// Removes and returns the order that `lane`, whose connection is ready, sends next. Another
    /// lane may have taken the order behind the claim.
    pub fn take(&mut self, lane: Lane) -> Option<QueuedOrder> {
        let claims = match lane {
            Lane::Kept => &mut self.kept_claims,
            Lane::Extra => &mut self.extra_claims,
        };
        *claims = claims.saturating_sub(1);
        let sendable = |index: &usize| self.is_sendable(*index);
        let is_stop_at = |index: &usize| is_stop(&self.waiting[*index].order);
        let mut all = 0..self.waiting.len();
        let stop = all.clone().filter(is_stop_at).find(sendable);
        let index = match lane {
            Lane::Kept => stop.or_else(|| all.find(sendable)),
            Lane::Extra => stop,
        };
        let queued = self.waiting.remove(index?)?;
        self.in_flight.push(InFlight::new(&queued.order));
        Some(queued)
    }

    /// Records that an order that was taken has its outcome.
    pub fn ended(&mut self, order: &scheduler::Order) {
        let ended = InFlight::new(order);
        if let Some(position) = self.in_flight.iter().position(|entry| *entry == ended) {
            self.in_flight.swap_remove(position);
        }
    }

    /// Returns whether a stop waits to be sent.
    pub fn has_stop(&self) -> bool {
        self.sendable_stops().next().is_some()
    }

    /// Returns whether no order waits to be sent.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the stops that may be sent.
    fn sendable_stops(&self) -> impl Iterator<Item = &QueuedOrder> {
        let stops = self.waiting.iter().filter(|queued| is_stop(&queued.order));
        stops.filter(|queued| !self.has_stop_in_flight(&queued.order))
    }

    /// Returns whether a waiting order may be sent beside those in flight.
    ///
    /// A stop may pass a start of its run that is not answered: the worker refuses a start that
    /// arrives after the stop. All other orders for a task are sent one after the other.
    fn is_sendable(&self, index: usize) -> bool {
        let order = &self.waiting[index].order;
        if is_stop(order) {
            return !self.has_stop_in_flight(order);
        }
        let Some(task) = order.task() else { return true };
        let is_of_task = |run: Option<(id::TaskId, id::Run)>| run.is_some_and(|run| run.0 == task);
        let mut before = self.waiting.iter().take(index);
        let is_behind = before.any(|earlier| earlier.order.task() == Some(task));
        let mut stops = self.waiting.iter().skip(index).filter(|queued| is_stop(&queued.order));
        let is_behind_stop = stops.any(|stop| stop.order.task() == Some(task));
        !is_behind && !is_behind_stop && !self.in_flight.iter().any(|entry| is_of_task(entry.run))
    }

    fn has_stop_in_flight(&self, order: &scheduler::Order) -> bool {
        self.in_flight.iter().any(|entry| entry.is_stop && entry.run == order.run())
    }
}

fn is_stop(order: &scheduler::Order) -> bool {
    matches!(order, scheduler::Order::Stop { .. })
}

/// Returns whether `later` makes sending `earlier` pointless.
fn replaces(later: &scheduler::Order, earlier: &scheduler::Order) -> bool {
    let is_replaced = is_stop(later)
        || (is_same_kind(later, earlier) && matches!(later, scheduler::Order::Pace { .. }));
    is_replaced && later.run().is_some() && later.run() == earlier.run()
}

fn is_same_kind(one: &scheduler::Order, other: &scheduler::Order) -> bool {
    std::mem::discriminant(one) == std::mem::discriminant(other)
}
