use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;

use comfreymill_jobs::id;
use comfreymill_jobs::scheduler;
use comfreymill_types::time;

use super::connections::Connections;
use super::delivery;
use crate::clock;
use crate::scheduler::core::Input;

/// Number of connections to a worker for starts, stops and paces; polls use a separate one.
const ORDER_CONNECTIONS: usize = 2;

/// Result of an order to a worker.
#[derive(Debug)]
pub(in crate::scheduler) struct OrderResult {
    /// Fencing token of the leader that issued the order.
    pub(in crate::scheduler) fence: id::Fence,
    /// Worker that the order was sent to.
    pub(in crate::scheduler) worker: id::WorkerNumber,
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
    polls: flume::Sender<scheduler::Order>,
    orders: [flume::Sender<scheduler::Order>; ORDER_CONNECTIONS],
}

impl OrderSender {
    /// Creates the sender of the leader with the fencing token `fence`, in a process that may use
    /// `descriptors` descriptors.
    pub(in crate::scheduler) fn new(
        fence: id::Fence,
        clock: clock::Clock,
        inputs: flume::Sender<Input>,
        descriptors: usize,
    ) -> Self {
        let connections = Connections::new(descriptors);
        Self { fence, clock, inputs, connections, queues: BTreeMap::new() }
    }

    /// Sends an order to the worker `name` at `address`.
    pub(in crate::scheduler) fn send(
        &mut self,
        order: scheduler::Order,
        name: &id::WorkerName,
        address: SocketAddr,
    ) {
        let worker = order.worker();
        let (fence, clock, inputs) = (self.fence, self.clock, &self.inputs);
        let connections = &self.connections;
        let worker_queues = self.queues.entry(worker).or_insert_with(|| {
            let target = delivery::Target { worker, name: name.clone(), address, fence, clock };
            WorkerQueues::start(&target, connections, inputs)
        });
        // A task ends only after its queue is closed, or when the core has ended.
        worker_queues.queue_for(&order).send(order).ok();
    }

    /// Closes the order queues of a worker; orders that are already queued are still sent.
    pub(in crate::scheduler) fn remove_worker(&mut self, worker: id::WorkerNumber) {
        self.queues.remove(&worker);
    }
}

impl WorkerQueues {
    fn start(
        target: &delivery::Target,
        connections: &Connections,
        inputs: &flume::Sender<Input>,
    ) -> Self {
        let queue = || {
            let (orders, rx) = flume::unbounded();
            let connections = connections.clone();
            monoio::spawn(delivery::run(target.clone(), connections, rx, inputs.clone()));
            orders
        };
        Self { polls: queue(), orders: std::array::from_fn(|_| queue()) }
    }

    /// Returns the queue for an order. All orders that concern a task use the same queue, so that
    /// a stop cannot overtake the start.
    fn queue_for(&self, order: &scheduler::Order) -> &flume::Sender<scheduler::Order> {
        let Some(task) = order.task() else { return &self.polls };
        let mut hasher = DefaultHasher::new();
        task.hash(&mut hasher);
        let position = hasher.finish() % ORDER_CONNECTIONS as u64;
        &self.orders[position as usize]
    }
}
