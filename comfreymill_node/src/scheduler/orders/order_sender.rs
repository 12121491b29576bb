use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use comfreymill_jobs::id;
use comfreymill_jobs::scheduler;
use comfreymill_types::time;

use super::connection_budget::Use;
use super::connections::Connections;
use super::delivery::Delivery;
use super::shared_queue::SharedQueue;
use super::target::Target;
use crate::clock;
use crate::scheduler::core::Input;

/// Result of an order to a worker.
#[derive(Debug)]
pub(in crate::scheduler) struct OrderResult {
    /// Fencing token with which the leader began that issued the order.
    pub(in crate::scheduler) leader: id::Fence,
    /// Worker that the order was sent to.
    pub(in crate::scheduler) worker: id::WorkerNumber,
    /// When the order was queued.
    pub(in crate::scheduler) queued_at: time::Monotonic,
    /// When the order was sent.
    pub(in crate::scheduler) sent_at: time::Monotonic,
    /// Answer of the worker, or the failure to get one.
    pub(in crate::scheduler) answer: scheduler::Answer,
}

/// Worker that orders are sent to.
#[derive(Debug)]
pub(in crate::scheduler) struct Receiver<'a> {
    pub(in crate::scheduler) name: &'a id::WorkerName,
    pub(in crate::scheduler) address: SocketAddr,
    /// Fencing token of the first order and of all that follow to this incarnation.
    pub(in crate::scheduler) fence: id::Fence,
}

/// Sends a leader's orders to the workers.
#[derive(Debug)]
pub(in crate::scheduler) struct OrderSender {
    leader: id::Fence,
    clock: clock::Clock,
    inputs: flume::Sender<Input>,
    connections: Connections,
    queues: BTreeMap<id::WorkerNumber, WorkerQueues>,
}

/// Order queues of one worker, which are closed when this is dropped.
#[derive(Debug)]
struct WorkerQueues {
    target: Rc<Target>,
    polls: SharedQueue,
    /// Queue for starts, stops and paces, created with the first such order.
    orders: Option<SharedQueue>,
}

impl OrderSender {
    /// Creates the sender of the leader that began with the fencing token `leader`.
    pub(in crate::scheduler) fn new(
        leader: id::Fence,
        clock: clock::Clock,
        inputs: flume::Sender<Input>,
        connections: Connections,
    ) -> Self {
        Self { leader, clock, inputs, connections, queues: BTreeMap::new() }
    }

    /// Sends an order to a worker, one of `workers`.
    pub(in crate::scheduler) fn send(
        &mut self,
        order: scheduler::Order,
        receiver: &Receiver<'_>,
        workers: usize,
    ) {
        let orders_per_worker = self.connections.expect_workers(workers);
        let connections = &self.connections;
        let queues = self.queues.entry(order.worker()).or_insert_with(|| {
            let target = Target {
                worker: order.worker(),
                name: receiver.name.clone(),
                address: receiver.address,
                leader: self.leader,
                fence: receiver.fence,
                clock: self.clock,
                inputs: self.inputs.clone(),
            };
            let target = Rc::new(target);
            let polls = start_queue(&target, connections, Use::Polls, 1);
            WorkerQueues { target, polls, orders: None }
        });
        if order.task().is_none() {
            queues.polls.push(order);
            return;
        }
        let target = &queues.target;
        let orders = queues.orders.get_or_insert_with(|| {
            start_queue(target, connections, Use::Orders, orders_per_worker)
        });
        for replaced in orders.push(order) {
            target.drop_replaced(&replaced);
        }
        if orders.add_extra_lane() {
            let delivery = Delivery {
                target: Rc::clone(target),
                orders: orders.clone(),
                connections: connections.clone(),
                of: Use::Stops,
                kept: None,
            };
            monoio::spawn(delivery.run());
        }
    }

    /// Closes the order queues of a worker; orders that were not sent are dropped.
    pub(in crate::scheduler) fn remove_worker(&mut self, worker: id::WorkerNumber) {
        self.queues.remove(&worker);
    }
}

impl Drop for WorkerQueues {
    fn drop(&mut self) {
        self.polls.close();
        if let Some(orders) = &self.orders {
            orders.close();
        }
    }
}

/// Creates a queue and starts the tasks of its kept lanes.
fn start_queue(
    target: &Rc<Target>,
    connections: &Connections,
    of: Use,
    kept_lanes: usize,
) -> SharedQueue {
    let orders = SharedQueue::new(target.clock, of, kept_lanes);
    for number in 0..kept_lanes {
        let delivery = Delivery {
            target: Rc::clone(target),
            orders: orders.clone(),
            connections: connections.clone(),
            of,
            kept: Some(number),
        };
        monoio::spawn(delivery.run());
    }
    orders
}
