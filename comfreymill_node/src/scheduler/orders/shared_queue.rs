use std::cell::{Cell, RefCell};
use std::future;
use std::rc::Rc;
use std::task;

use comfreymill_jobs::scheduler;

use super::connection_budget::Use;
use super::lane::Lane;
use super::order_queue::OrderQueue;
use super::queued_order::QueuedOrder;
use crate::clock;

/// Order queue that the lanes of a worker share.
///
/// Each kept lane has its own place for a waker, and every wake-up lets it ask the queue once. A
/// shared `flume` receiver would not do: a task that is woken for a message that another one
/// received would wake itself endlessly, because `flume` does not clear its wake-up flag and wakers
/// of `monoio` never compare as equal.
#[derive(Clone, Debug)]
pub(super) struct SharedQueue {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: clock::Clock,
    /// What the connections of the kept lanes are used for.
    of: Use,
    queue: RefCell<OrderQueue>,
    /// Wakers of the kept lanes that wait, by number.
    wakers: RefCell<Vec<Option<task::Waker>>>,
    is_closed: Cell<bool>,
}

impl SharedQueue {
    /// Creates an empty queue that `kept_lanes` lanes serve.
    pub(super) fn new(clock: clock::Clock, of: Use, kept_lanes: usize) -> Self {
        let queue = RefCell::new(OrderQueue::new(kept_lanes));
        let wakers = RefCell::new(vec![None; kept_lanes]);
        let shared = Shared { clock, of, queue, wakers, is_closed: Cell::new(false) };
        Self { shared: Rc::new(shared) }
    }

    /// Adds an order; returns the orders that it makes pointless.
    pub(super) fn push(&self, order: scheduler::Order) -> Vec<QueuedOrder> {
        let queued = QueuedOrder { order, queued_at: self.shared.clock.now() };
        let dropped = self.shared.queue.borrow_mut().push(queued);
        self.wake();
        dropped
    }

    /// Drops the orders that were not sent, and lets the lanes end: the leader has been deposed, or
    /// the worker is gone and another one may have its name and address.
    pub(super) fn close(&self) {
        self.shared.is_closed.set(true);
        self.with(OrderQueue::clear);
        self.wake();
    }

    /// Waits until the kept lane `number` should get a connection ready; returns `false` once the
    /// queue is closed and has no order for the lane.
    pub(super) async fn claim(&self, number: usize) -> bool {
        future::poll_fn(|cx| {
            if self.shared.queue.borrow_mut().claim(Lane::Kept, self.shared.clock.now()) {
                return task::Poll::Ready(true);
            }
            if self.shared.is_closed.get() {
                return task::Poll::Ready(false);
            }
            self.register(number, cx);
            task::Poll::Pending
        })
        .await
    }

    /// Waits until an extra lane should get a connection ready; returns `false` if no stop waits.
    pub(super) async fn claim_extra(&self) -> bool {
        loop {
            let now = self.shared.clock.now();
            let Some(due) = self.with(|queue| queue.extra_due_at()) else { return false };
            if self.with(|queue| queue.claim(Lane::Extra, now)) {
                return true;
            }
            monoio::time::sleep(due.since(now)).await;
        }
    }

    /// Returns what a connection of the kept lane `number` is used for: an urgent stop may arrive
    /// while the lane waits for one, so the task is woken for every order.
    pub(super) fn urgency(&self, number: usize, cx: &task::Context<'_>) -> Use {
        self.register(number, cx);
        if self.with(|queue| queue.has_stop()) { Use::Stops } else { self.shared.of }
    }

    /// Removes and returns the order that a lane sends next.
    pub(super) fn take(&self, lane: Lane) -> Option<QueuedOrder> {
        self.with(|queue| queue.take(lane))
    }

    /// Removes and returns the orders that must not be sent any more.
    pub(super) fn take_expired(&self) -> Vec<QueuedOrder> {
        let now = self.shared.clock.now();
        self.with(|queue| queue.take_expired(now))
    }

    /// Records that an order has its outcome; orders for the same task may now be sent.
    pub(super) fn ended(&self, order: &scheduler::Order) {
        self.with(|queue| queue.ended(order));
        if !self.is_empty() {
            self.wake();
        }
    }

    /// Adds an extra lane if one is needed; returns whether it was added.
    pub(super) fn add_extra_lane(&self) -> bool {
        self.with(OrderQueue::add_extra_lane)
    }

    /// Removes an extra lane.
    pub(super) fn remove_extra_lane(&self) {
        self.with(OrderQueue::remove_extra_lane);
    }

    /// Returns whether no order waits.
    pub(super) fn is_empty(&self) -> bool {
        self.with(|queue| queue.is_empty())
    }

    fn with<F, T>(&self, access: F) -> T
    where
        F: FnOnce(&mut OrderQueue) -> T,
    {
        access(&mut self.shared.queue.borrow_mut())
    }

    fn register(&self, number: usize, cx: &task::Context<'_>) {
        self.shared.wakers.borrow_mut()[number] = Some(cx.waker().clone());
    }

    fn wake(&self) {
        let mut wakers = self.shared.wakers.borrow_mut();
        for waker in wakers.iter_mut().filter_map(Option::take) {
            waker.wake();
        }
    }
}
