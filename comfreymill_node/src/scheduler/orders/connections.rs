use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Interval between attempts to open a connection while the maximum number is open.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Number of connections for orders that may be open however many polls are.
const MIN_FOR_ORDERS: usize = 4;

/// Number of open connections to workers and its bound, shared by all delivery tasks.
///
/// Polls take what they need, since without them a worker's lease expires. Orders share the rest.
#[derive(Clone, Debug)]
pub(super) struct Connections {
    for_polls: Rc<Cell<usize>>,
    for_orders: Rc<Cell<usize>>,
    most: usize,
}

/// One open connection; it is counted until it is dropped.
#[derive(Debug)]
pub(super) struct Permit {
    count: Rc<Cell<usize>>,
}

impl Connections {
    /// Creates the count with a bound of `most` connections.
    pub(super) fn new(most: usize) -> Self {
        Self { for_polls: Rc::default(), for_orders: Rc::default(), most }
    }

    /// Returns how many connections for orders each of `workers` workers may have, beside the one
    /// for polls: a second one lets orders to distant workers overlap.
    pub(super) fn orders_per_worker(&self, workers: usize) -> usize {
        if workers.saturating_mul(3) <= self.most { 2 } else { 1 }
    }

    /// Counts a connection that is opened for polls.
    pub(super) fn open_for_polls(&self) -> Permit {
        Permit::new(&self.for_polls)
    }

    /// Waits until a connection may be opened for orders, and counts it.
    pub(super) async fn open_for_orders(&self) -> Permit {
        while self.for_orders.get() >= self.most_for_orders() {
            monoio::time::sleep(RETRY_INTERVAL).await;
        }
        Permit::new(&self.for_orders)
    }

    /// Returns whether connections for orders should be closed after use, so that others can be
    /// opened.
    pub(super) fn is_scarce(&self) -> bool {
        let most = self.most_for_orders();
        self.for_orders.get() > most - (most / 8).max(1)
    }

    fn most_for_orders(&self) -> usize {
        self.most.saturating_sub(self.for_polls.get()).max(MIN_FOR_ORDERS)
    }
}

impl Permit {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self { count: Rc::clone(count) }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}
