//! Connections to workers, whose number is bounded by [`ConnectionBudget`].

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future;
use std::rc::Rc;
use std::task;

use super::connection_budget::{ConnectionBudget, Use};

/// Open connections to workers, shared by all tasks that send orders.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct Connections {
    shared: Rc<RefCell<Shared>>,
}

#[derive(Debug)]
struct Shared {
    budget: ConnectionBudget,
    last_ticket: u64,
    /// Tasks that wait, by ticket.
    wakers: BTreeMap<u64, task::Waker>,
}

impl Shared {
    /// Wakes the tasks that may open a connection; they ask again.
    fn wake_next(&self) {
        for ticket in self.budget.next_waiting() {
            if let Some(waker) = self.wakers.get(&ticket) {
                waker.wake_by_ref();
            }
        }
    }
}

/// One open connection; it is counted until it is dropped.
#[derive(Debug)]
pub(super) struct Permit {
    connections: Connections,
    of: Use,
}

impl Connections {
    /// Creates the count with a bound of `most` connections.
    pub(in crate::scheduler) fn new(most: usize) -> Self {
        let budget = ConnectionBudget::new(most);
        let shared = Shared { budget, last_ticket: 0, wakers: BTreeMap::new() };
        Self { shared: Rc::new(RefCell::new(shared)) }
    }

    /// Sets the number of workers; returns how many connections for orders each may have.
    pub(super) fn expect_workers(&self, workers: usize) -> usize {
        let mut shared = self.shared.borrow_mut();
        shared.budget.expect_workers(workers);
        shared.budget.orders_per_worker(workers)
    }

    /// Waits until a connection may be opened, and counts it. `of` is asked at each wake-up of the
    /// task, since a stop may arrive meanwhile.
    pub(super) async fn open<F>(&self, mut of: F) -> Permit
    where
        F: FnMut(&task::Context<'_>) -> Use,
    {
        let ticket = {
            let mut shared = self.shared.borrow_mut();
            shared.last_ticket += 1;
            shared.last_ticket
        };
        future::poll_fn(|cx| {
            let of = of(cx);
            let mut shared = self.shared.borrow_mut();
            let has_changed = shared.budget.change_use(ticket, of);
            if shared.budget.open(ticket, of) {
                shared.wakers.remove(&ticket);
                shared.wake_next();
                return task::Poll::Ready(Permit { connections: self.clone(), of });
            }
            shared.wakers.insert(ticket, cx.waker().clone());
            if has_changed {
                shared.wake_next();
            }
            task::Poll::Pending
        })
        .await
    }

    /// Returns whether connections should be closed after use, so that others can be opened.
    pub(super) fn is_scarce(&self, of: Use) -> bool {
        self.shared.borrow().budget.is_scarce(of)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut shared = self.connections.shared.borrow_mut();
        shared.budget.close(self.of);
        shared.wake_next();
    }
}
