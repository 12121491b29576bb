use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::client;
use comfreymill_http::limits;
use comfreymill_jobs::id;
use comfreymill_jobs::scheduler;
use comfreymill_platform as platform;

use super::OrderResult;
use super::connection_budget::Use;
use super::connections::{Connections, Permit};
use super::queued_order::QueuedOrder;
use crate::clock;
use crate::metering::observe;
use crate::scheduler::core::Input;

/// Maximum time to connect to a worker.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for an answer, in addition to the delay that the order allows the worker.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without orders after which a connection is closed; each occupies a descriptor, and workers
/// that are polled rarely are polled every few seconds.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time without orders after which a connection is closed that others may wait for.
const SCARCE_IDLE_LIMIT: Duration = Duration::from_secs(5);
/// Time from the decision to the sending after which an order is logged.
const LONG_WAIT: Duration = Duration::from_secs(1);
/// Maximum size of an answer; 500 ends and the runs of a full worker take far less.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Worker that receives the orders, and the leader that sends them.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) worker: id::WorkerNumber,
    pub(super) name: id::WorkerName,
    pub(super) address: SocketAddr,
    pub(super) fence: id::Fence,
    pub(super) clock: clock::Clock,
}

/// Connection to a worker, kept open between orders.
struct Slot {
    connection: Option<client::Connection>,
    _permit: Permit,
}

/// Outcome of sending an order.
enum Outcome {
    /// The worker answered with this status and body.
    Answered(http::StatusCode, Bytes),
    /// The connection was refused by the worker's machine or by the network.
    Refused,
    /// No part of the request was sent.
    NotSent,
    /// The order waited too long for earlier ones, and was not sent.
    Expired,
    /// The request may have reached the worker, but no complete answer arrived.
    Unanswered,
}

impl Outcome {
    /// Returns the label of the outcome in metrics.
    fn label(&self) -> &'static str {
        match self {
            Self::Answered(status, _) if status.is_success() => "taken",
            Self::Answered(..) => "refused",
            Self::Refused => "not listening",
            Self::NotSent => "not sent",
            Self::Expired => "expired",
            Self::Unanswered => "unanswered",
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

/// Sends the orders of a queue one at a time over a dedicated connection.
pub(super) async fn run(
    target: Target,
    (connections, of): (Connections, Use),
    orders: flume::Receiver<QueuedOrder>,
    inputs: flume::Sender<Input>,
) {
    // Two tasks on one receiver can wake each other endlessly; see `WorkerQueues`.
    debug_assert_eq!(orders.receiver_count(), 1, "the order queue has more than one receiver");
    let mut connection = None;
    while let Some(QueuedOrder { order, queued_at }) =
        next_order(&orders, (&connections, of), &mut connection).await
    {
        let (request, wait) = to_request(&target, &order);
        let taken_at = target.clock.now();
        if connection.is_none() {
            let is_stop = matches!(order, scheduler::Order::Stop { .. });
            let permit = connections.open(|_| if is_stop { Use::Stops } else { of }).await;
            connection = Some(Slot { connection: None, _permit: permit });
        }
        let Some(slot) = &mut connection else { return };
        let sent_at = target.clock.now();
        report_waits(&target, &order, taken_at.since(queued_at), sent_at.since(taken_at));
        let outcome = if order.has_expired(sent_at) {
            Outcome::Expired
        } else {
            exchange(&target, &mut slot.connection, request, wait).await
        };
        if slot.connection.is_none() || (connections.is_scarce(of) && orders.is_empty()) {
            connection = None;
        }
        let duration = target.clock.now().since(sent_at);
        observe::order(kind_label(&order), outcome.label(), duration);
        report_stop(&target, &order, &outcome, sent_at.since(queued_at), duration);
        let answer = to_answer(&order, outcome);
        let Target { worker, fence, .. } = target;
        let result = OrderResult { fence, worker, queued_at, sent_at, answer };
        if inputs.send(Input::OrderResult(Box::new(result))).is_err() {
            return;
        }
    }
}

/// Records how long an order waited in its queue and for a connection; logs a long wait.
fn report_waits(
    target: &Target,
    order: &scheduler::Order,
    queue_wait: Duration,
    connection_wait: Duration,
) {
    let kind = kind_label(order);
    observe::order_queue_wait(kind, queue_wait);
    observe::order_connection_wait(kind, connection_wait);
    if let Some((task, run)) = order.run()
        && queue_wait + connection_wait >= LONG_WAIT
    {
        let waited_ms = (queue_wait + connection_wait).as_millis() as u64;
        log::info!(target: "runs", task:% = task, run:% = run, worker:% = target.name, kind, waited_ms, connection_ms = connection_wait.as_millis() as u64; "an order waited for earlier orders to its worker");
    }
}

/// Logs how a stop order ended; a run goes on until its stop is carried out.
fn report_stop(
    target: &Target,
    order: &scheduler::Order,
    outcome: &Outcome,
    waited: Duration,
    answered: Duration,
) {
    let scheduler::Order::Stop { task, run, .. } = order else { return };
    let (waited_ms, answer_ms) = (waited.as_millis() as u64, answered.as_millis() as u64);
    let label = outcome.label();
    if matches!(outcome, Outcome::Answered(status, _) if status.is_success()) {
        log::debug!(target: "runs", task:% = task, run:% = run, worker:% = target.name, waited_ms, answer_ms; "a stop was accepted");
    } else {
        log::info!(target: "runs", task:% = task, run:% = run, worker:% = target.name, outcome = label, waited_ms, answer_ms; "a stop was not accepted");
    }
}

/// Returns the next order; closes the connection after `IDLE_LIMIT` without one, or sooner while
/// connections are scarce.
async fn next_order(
    orders: &flume::Receiver<QueuedOrder>,
    (connections, of): (&Connections, Use),
    connection: &mut Option<Slot>,
) -> Option<QueuedOrder> {
    let mut idle = Duration::ZERO;
    while connection.is_some() {
        match monoio::time::timeout(SCARCE_IDLE_LIMIT, orders.recv_async()).await {
            Ok(received) => return received.ok(),
            Err(_) => idle += SCARCE_IDLE_LIMIT,
        }
        if idle >= IDLE_LIMIT || connections.is_scarce(of) {
            *connection = None;
        }
    }
    orders.recv_async().await.ok()
}

fn to_request(target: &Target, order: &scheduler::Order) -> (platform::Outbound, Duration) {
    let (name, fence) = (&target.name, target.fence);
    match order {
        scheduler::Order::Start { task, run, spec, lease_until_ms, checkpoint, .. } => {
            let run = (*task, *run);
            let call =
                platform::start(name, fence, run, &spec.payload, *lease_until_ms, checkpoint);
            (call, Duration::ZERO)
        }
        scheduler::Order::Stop { task, run, .. } => {
            (platform::stop(name, fence, *task, *run), Duration::ZERO)
        }
        scheduler::Order::Poll { noted, lease_until_ms, wait, .. } => {
            (platform::poll(name, fence, *noted, *lease_until_ms, *wait), *wait)
        }
        scheduler::Order::Pace { task, run, percent, .. } => {
            (platform::pace(name, fence, (*task, *run), *percent), Duration::ZERO)
        }
    }
}

async fn exchange(
    target: &Target,
    slot: &mut Option<client::Connection>,
    request: platform::Outbound,
    wait: Duration,
) -> Outcome {
    // The worker may have closed an idle connection, which is detected before anything is sent.
    if let Some(outcome) = exchange_once(target, slot, &request, wait).await {
        return outcome;
    }
    exchange_once(target, slot, &request, wait).await.unwrap_or(Outcome::NotSent)
}

/// Sends a request over the connection in `slot`, or a new one; returns `None` if the connection was
/// stale.
async fn exchange_once(
    target: &Target,
    slot: &mut Option<client::Connection>,
    request: &platform::Outbound,
    wait: Duration,
) -> Option<Outcome> {
    if slot.is_none() {
        let limits = limits::Limits::new().response_timeout(Duration::from_secs(30));
        match client::Connection::connect(target.address, limits, CONNECT_TIMEOUT).await {
            Ok(connection) => *slot = Some(connection),
            Err(error) => {
                let refused =
                    client::ClientErrorKind::Connect(std::io::ErrorKind::ConnectionRefused);
                return Some(if error.kind == refused {
                    Outcome::Refused
                } else {
                    Outcome::NotSent
                });
            }
        }
    }
    let connection = slot.as_mut()?;
    let round_trip = async {
        let mut response = connection.send(&request.head, request.body.clone()).await?;
        let body = response.collect(MAX_ANSWER_BYTES).await?;
        Ok::<_, client::ClientError>((response.status(), body))
    };
    let result = monoio::time::timeout(wait + ANSWER_TIMEOUT, round_trip).await;
    match result {
        Ok(Ok((status, body))) => Some(Outcome::Answered(status, body)),
        Ok(Err(error)) => {
            *slot = None;
            match error.sent {
                client::Sent::Nothing if error.kind == client::ClientErrorKind::Stale => None,
                client::Sent::Nothing => Some(Outcome::NotSent),
                client::Sent::Some => Some(Outcome::Unanswered),
            }
        }
        Err(_) => {
            let sent = connection.sent();
            *slot = None;
            match sent {
                client::Sent::Nothing => Some(Outcome::NotSent),
                client::Sent::Some => Some(Outcome::Unanswered),
            }
        }
    }
}

fn to_answer(order: &scheduler::Order, outcome: Outcome) -> scheduler::Answer {
    if let Outcome::Answered(http::StatusCode::MISDIRECTED_REQUEST, _) = outcome {
        return scheduler::Answer::WorkerGone;
    }
    match order {
        scheduler::Order::Start { task, run, .. } => {
            let (answer, clock_ms) = match outcome {
                Outcome::Answered(status, body) => platform::decode_start(status, &body),
                Outcome::NotSent | Outcome::Expired | Outcome::Refused => {
                    (scheduler::StartAnswer::NotSent, None)
                }
                Outcome::Unanswered => (scheduler::StartAnswer::Unknown, None),
            };
            scheduler::Answer::Start { task: *task, run: *run, answer, clock_ms }
        }
        scheduler::Order::Stop { task, run, .. } | scheduler::Order::Pace { task, run, .. } => {
            let is_accepted = match outcome {
                Outcome::Answered(status, _) => platform::decode_accepted(status),
                _ => false,
            };
            match order {
                scheduler::Order::Stop { .. } => {
                    scheduler::Answer::Stop { task: *task, run: *run, is_accepted }
                }
                _ => scheduler::Answer::Pace { task: *task, run: *run, is_accepted },
            }
        }
        scheduler::Order::Poll { .. } => {
            let answer = match outcome {
                Outcome::Answered(status, body) => {
                    platform::decode_poll(status, &body).unwrap_or_else(|error| {
                        log::warn!(target: "workers", worker:% = order.worker(), reason:% = error; "a worker's answer to a poll is malformed");
                        scheduler::PollAnswer::NoAnswer
                    })
                }
                Outcome::Refused => scheduler::PollAnswer::Unreachable,
                _ => scheduler::PollAnswer::NoAnswer,
            };
            scheduler::Answer::Poll(answer)
        }
    }
}
