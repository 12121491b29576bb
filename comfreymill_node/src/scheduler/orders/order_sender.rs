use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;

use comfreymill_jobs::id;
use comfreymill_jobs::scheduler;
use comfreymill_types::time;

use super::connection_budget::Use;
use super::connections::Connections;
use super::delivery;
use super::queued_order::QueuedOrder;
use crate::clock;
use crate::scheduler::core::Input;

/// Result of an order to a worker.
#[derive(Debug)]
pub(in crate::scheduler) struct OrderResult {
    /// Fencing token of the leader that issued the order.
    pub(in crate::scheduler) fence: id::Fence,
    /// Worker that the order was sent to.
    pub(in crate::scheduler) worker: id::WorkerNumber,
    /// When the order was queued.
    pub(in crate::scheduler) queued_at: time::Monotonic,
    /// When the order was sent.
    pub(in crate::scheduler) sent_at: time::Monotonic,
    /// Answer of the worker, or the failure to get one.
    pub(in crate::scheduler) answer: scheduler::Answer,
}

/// Sends a leader's orders to the workers.
#[derive(Debug)]
pub(in crate::scheduler) struct OrderSender {
    fence: id::Fence,
    clock: clock::Clock,
    inputs: flume::Sender<Input>,
    connections: Connections,
    queues: BTreeMap<id::WorkerNumber, WorkerQueues>,
}

/// Order queues of one worker, each drained by a separate task.
///
/// Two tasks must not share a receiver: a task that is woken for a message that the other task
/// received would wake itself endlessly, because `flume` does not clear its wake-up flag and wakers
/// of `monoio` never compare as equal.
#[derive(Debug)]
struct WorkerQueues {
    polls: flume::Sender<QueuedOrder>,
    /// Queues for starts, stops and paces, created with the first such order.
    orders: Vec<flume::Sender<QueuedOrder>>,
}

impl OrderSender {
    /// Creates the sender of the leader with the fencing token `fence`, which may have `most`
    /// connections.
    pub(in crate::scheduler) fn new(
        fence: id::Fence,
        clock: clock::Clock,
        inputs: flume::Sender<Input>,
        most: usize,
    ) -> Self {
        let connections = Connections::new(most);
        Self { fence, clock, inputs, connections, queues: BTreeMap::new() }
    }

    /// Sends an order to the worker `name` at `address`, one of `workers` workers.
    pub(in crate::scheduler) fn send(
        &mut self,
        order: scheduler::Order,
        name: &id::WorkerName,
        address: SocketAddr,
        workers: usize,
    ) {
        let worker = order.worker();
        let orders_per_worker = self.connections.expect_workers(workers);
        let (fence, clock) = (self.fence, self.clock);
        let target = || delivery::Target { worker, name: name.clone(), address, fence, clock };
        let (connections, inputs) = (&self.connections, &self.inputs);
        let start_queue = |of| {
            let (orders, rx) = flume::unbounded();
            let connections = (connections.clone(), of);
            monoio::spawn(delivery::run(target(), connections, rx, inputs.clone()));
            orders
        };
        let queues = self
            .queues
            .entry(worker)
            .or_insert_with(|| WorkerQueues { polls: start_queue(Use::Polls), orders: Vec::new() });
        if order.task().is_some() && queues.orders.is_empty() {
            queues.orders.extend((0..orders_per_worker).map(|_| start_queue(Use::Orders)));
        }
        // A task ends only after its queue is closed, or when the core has ended.
        let queue = queues.queue_for(&order);
        queue.send(QueuedOrder { order, queued_at: clock.now() }).ok();
    }

    /// Closes the order queues of a worker; orders that are already queued are still sent.
    pub(in crate::scheduler) fn remove_worker(&mut self, worker: id::WorkerNumber) {
        self.queues.remove(&worker);
    }
}

impl WorkerQueues {
    /// Returns the queue for an order. All orders that concern a task use the same queue, so that
    /// a stop cannot overtake the start.
    fn queue_for(&self, order: &scheduler::Order) -> &flume::Sender<QueuedOrder> {
        let Some(task) = order.task() else { return &self.polls };
        let mut hasher = DefaultHasher::new();
        task.hash(&mut hasher);
        let position = hasher.finish() % self.orders.len() as u64;
        &self.orders[position as usize]
    }
}
