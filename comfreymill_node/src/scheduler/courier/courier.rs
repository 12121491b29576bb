use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::SocketAddr;

use comfreymill_jobs::id;
use comfreymill_jobs::scheduler;
use comfreymill_types::time;

use super::carry;
use crate::clock;
use crate::scheduler::core::Input;

/// Number of connections to a worker for starts, stops and paces; polls use a separate one.
const ORDER_CONNECTIONS: usize = 2;

/// Result of an order to a worker.
#[derive(Debug)]
pub(in crate::scheduler) struct Delivered {
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
pub(in crate::scheduler) struct Courier {
    fence: id::Fence,
    clock: clock::Clock,
    inputs: flume::Sender<Input>,
    routes: BTreeMap<id::WorkerNumber, Route>,
}

/// Order queues of one worker, each drained by a separate task.
///
/// Two tasks must not share a receiver: a task that is woken for a message that the other task
/// received would wake itself endlessly, because `flume` does not clear its wake-up flag and wakers
/// of `monoio` never compare as equal.
#[derive(Debug)]
struct Route {
    looks: flume::Sender<scheduler::Order>,
    orders: [flume::Sender<scheduler::Order>; ORDER_CONNECTIONS],
}

impl Courier {
    /// Creates the sender of the leader with the fencing token `fence`.
    pub(in crate::scheduler) fn new(
        fence: id::Fence,
        clock: clock::Clock,
        inputs: flume::Sender<Input>,
    ) -> Self {
        Self { fence, clock, inputs, routes: BTreeMap::new() }
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
        let route = self.routes.entry(worker).or_insert_with(|| {
            let target = carry::Target { worker, name: name.clone(), address, fence, clock };
            Route::start(&target, inputs)
        });
        // A task ends only after its queue is closed, or when the core has ended.
        route.queue(&order).send(order).ok();
    }

    /// Closes the order queues of a worker; orders that are already queued are still sent.
    pub(in crate::scheduler) fn forget(&mut self, worker: id::WorkerNumber) {
        self.routes.remove(&worker);
    }
}

impl Route {
    fn start(target: &carry::Target, inputs: &flume::Sender<Input>) -> Self {
        let queue = || {
            let (orders, rx) = flume::unbounded();
            monoio::spawn(carry::run(target.clone(), rx, inputs.clone()));
            orders
        };
        Self { looks: queue(), orders: std::array::from_fn(|_| queue()) }
    }

    /// Returns the queue for an order. All orders that concern a task use the same queue, so that
    /// a stop cannot overtake the start.
    fn queue(&self, order: &scheduler::Order) -> &flume::Sender<scheduler::Order> {
        let Some(task) = order.task() else { return &self.looks };
        let mut hasher = DefaultHasher::new();
        task.hash(&mut hasher);
        let position = hasher.finish() % ORDER_CONNECTIONS as u64;
        &self.orders[position as usize]
    }
}
