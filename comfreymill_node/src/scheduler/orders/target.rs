use std::net::SocketAddr;
use std::time::Duration;

use comfreymill_jobs::id;
use comfreymill_jobs::scheduler;
use comfreymill_types::time;

use super::OrderResult;
use super::outcome::Outcome;
use super::queued_order::QueuedOrder;
use crate::clock;
use crate::metering::observe;
use crate::scheduler::core::Input;

/// Time from the decision to the sending after which an order is logged.
const LONG_WAIT: Duration = Duration::from_secs(1);

/// Worker that receives the orders, and the leader that sends them.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) worker: id::WorkerNumber,
    pub(super) name: id::WorkerName,
    pub(super) address: SocketAddr,
    /// Fencing token with which the leader began.
    pub(super) leader: id::Fence,
    /// Fencing token of the orders to this incarnation of the worker.
    pub(super) fence: id::Fence,
    pub(super) clock: clock::Clock,
    pub(super) inputs: flume::Sender<Input>,
}

impl Target {
    /// Reports an order's outcome to the decisions; returns whether anyone still listens.
    pub(super) fn report(
        &self,
        queued: &QueuedOrder,
        sent_at: time::Monotonic,
        outcome: Outcome,
    ) -> bool {
        let order = &queued.order;
        observe::order(kind_label(order), outcome.label(), self.clock.now().since(sent_at));
        self.log_stop(queued, sent_at, &outcome);
        let Self { worker, leader, .. } = *self;
        let answer = outcome.into_answer(order);
        let result = OrderResult { leader, worker, queued_at: queued.queued_at, sent_at, answer };
        self.inputs.send(Input::OrderResult(Box::new(result))).is_ok()
    }

    /// Records an order that is not sent since a later one for its run makes it pointless. A start
    /// is reported; the later stop or pace is what gets an answer otherwise.
    pub(super) fn drop_replaced(&self, queued: &QueuedOrder) {
        let now = self.clock.now();
        if let scheduler::Order::Start { task, run, .. } = &queued.order {
            log::info!(target: "runs", task:% = task, run:% = run, worker:% = self.name; "a start is not sent, since its run is stopped");
            self.report(queued, now, Outcome::Replaced);
        } else {
            observe::order(kind_label(&queued.order), Outcome::Replaced.label(), Duration::ZERO);
        }
    }

    /// Records how long an order waited in its queue and for a connection; logs a long wait.
    pub(super) fn report_waits(
        &self,
        queued: &QueuedOrder,
        claimed_at: time::Monotonic,
        sent_at: time::Monotonic,
    ) {
        let QueuedOrder { order, queued_at } = queued;
        let kind = kind_label(order);
        let connection_wait = sent_at.since(claimed_at.max(*queued_at));
        observe::order_queue_wait(kind, claimed_at.since(*queued_at));
        observe::order_connection_wait(kind, connection_wait);
        if let Some((task, run)) = order.run()
            && sent_at.since(*queued_at) >= LONG_WAIT
        {
            let waited_ms = sent_at.since(*queued_at).as_millis() as u64;
            log::info!(target: "runs", task:% = task, run:% = run, worker:% = self.name, kind, waited_ms, connection_ms = connection_wait.as_millis() as u64; "an order waited for earlier orders to its worker");
        }
    }

    /// Logs how a stop order ended; a run goes on until its stop is carried out.
    fn log_stop(&self, queued: &QueuedOrder, sent_at: time::Monotonic, outcome: &Outcome) {
        let scheduler::Order::Stop { task, run, .. } = &queued.order else { return };
        let waited_ms = sent_at.since(queued.queued_at).as_millis() as u64;
        let answer_ms = self.clock.now().since(sent_at).as_millis() as u64;
        if matches!(outcome, Outcome::Answered(status, _) if status.is_success()) {
            log::debug!(target: "runs", task:% = task, run:% = run, worker:% = self.name, waited_ms, answer_ms; "a stop was accepted");
        } else {
            log::info!(target: "runs", task:% = task, run:% = run, worker:% = self.name, outcome = outcome.label(), waited_ms, answer_ms; "a stop was not accepted");
        }
    }
}

/// Returns the label of an order's kind in metrics.
fn kind_label(order: &scheduler::Order) -> &'static str {
    match order {
        scheduler::Order::Start { .. } => "start",
        scheduler::Order::Stop { .. } => "stop",
        scheduler::Order::Poll { .. } => "look",
        scheduler::Order::Pace { .. } => "pace",
    }
}
