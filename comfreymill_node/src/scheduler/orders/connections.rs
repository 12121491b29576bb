use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Interval between attempts to open a connection while the maximum number is open.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Number of open connections to workers and its bounds, shared by all delivery tasks.
///
/// A leader of many workers must not use up the descriptors of its process: its store, its listener
/// and its links to the other members need some as well. With a connection for polls and two for
/// orders to each of 890 workers and their own connections for announcements, 4,096 were too few.
#[derive(Clone, Debug)]
pub(super) struct Connections {
    open: Rc<Cell<usize>>,
    most: usize,
}

/// One open connection; it is counted until it is dropped.
#[derive(Debug)]
pub(super) struct Permit {
    open: Rc<Cell<usize>>,
}

impl Connections {
    /// Creates the count for a process that may use `descriptors` descriptors. Half of them are for
    /// connections to workers, since each worker also keeps one for its announcements.
    pub(super) fn new(descriptors: usize) -> Self {
        Self { open: Rc::new(Cell::new(0)), most: descriptors / 2 }
    }

    /// Returns how many connections for orders each of `workers` workers may have, beside the one
    /// for polls: a second one lets orders to distant workers overlap.
    pub(super) fn orders_per_worker(&self, workers: usize) -> usize {
        if workers.saturating_mul(3) <= self.most { 2 } else { 1 }
    }

    /// Counts a connection that is opened regardless of the bound, for polls: without them, the
    /// worker's lease would expire.
    pub(super) fn open(&self) -> Permit {
        self.open.set(self.open.get() + 1);
        Permit { open: Rc::clone(&self.open) }
    }

    /// Waits until a connection may be opened, and counts it.
    pub(super) async fn wait_to_open(&self) -> Permit {
        while self.open.get() >= self.most {
            monoio::time::sleep(RETRY_INTERVAL).await;
        }
        self.open()
    }

    /// Returns whether idle connections should be closed, so that others can be opened.
    pub(super) fn is_scarce(&self) -> bool {
        self.open.get() > self.most - self.most / 16
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}
