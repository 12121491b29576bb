use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_ledger::request;
use comfreymill_route::router;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::attempt::{Attempt, AttemptEnd, ExecutorAnswer};
use super::context::Context;
use super::gate::Gate;
use super::keyed;
use super::keys::RunEnd;
use super::target::Target;
use crate::entry::dispatch;
use crate::metering::observe;

const FIRST_ATTEMPT: u32 = 1;
const NO_TEAM: &str = "none";
const SETTLE_LIMIT: Duration = Duration::from_secs(30);

/// Request with all that is needed to see it through without its caller.
#[derive(Clone)]
pub(super) struct Conduct {
    pub(super) cx: Context,
    pub(super) number: u64,
    pub(super) target: Target,
    pub(super) class: document::Class,
    /// Team, if the document has it.
    pub(super) team: Option<id::TeamName>,
    pub(super) limit: Duration,
    pub(super) head: Rc<http::request::Parts>,
    pub(super) body: Bytes,
    /// Key to record the end under.
    pub(super) key: Option<request::RequestKey>,
    /// Digest of what is asked.
    pub(super) digest: id::Digest,
    /// Closed when the caller goes away.
    pub(super) caller: flume::Receiver<()>,
}

impl Conduct {
    /// Runs the request and gives its end to `reply`.
    pub(super) async fn run(self, reply: flume::Sender<RunEnd>) {
        let began = self.cx.clock.now();
        let Some(key) = &self.key else {
            let end = self.dispatch().await;
            self.observe(began, &end);
            reply.send(end).ok();
            return;
        };
        let opening = keyed::open(&self.cx, key, &self.class, self.digest, self.limit).await;
        let (end, outcome) = match opening {
            Ok(keyed::Opening::Stored(answer)) => (keyed::stored(answer), None),
            Ok(keyed::Opening::Run) => {
                let end = self.dispatch().await;
                let outcome = keyed::outcome(&end);
                (end, Some(outcome))
            }
            // The record may be open, but nothing was sent: it is closed again.
            Err(error) if error.get_kind() == error::ErrorKind::CommitUnknown => {
                (Err(error), Some(request::RequestOutcome::NotRun))
            }
            Err(error) => (Err(error), None),
        };
        self.observe(began, &end);
        let is_closed = match &outcome {
            Some(outcome) => keyed::close(&self.cx, key, outcome).await,
            None => true,
        };
        reply.send(end.clone()).ok();
        if let Some(outcome) = outcome.filter(|_| !is_closed) {
            // Until then the key stays taken here, so that nobody else opens its record.
            keyed::close_later(&self.cx, key, &outcome).await;
        }
        self.cx.keys.finish(key, self.number, &end);
    }

    /// Takes orders until the request is over.
    async fn dispatch(&self) -> Result<ExecutorAnswer, error::Error> {
        let arrival = self.cx.clock.now();
        let deadline = arrival + self.limit;
        let mut ticket =
            self.cx.dispatcher.submit(self.target.desk.clone(), self.view(arrival, deadline));
        loop {
            let order = monoio::select! {
                order = ticket.next() => order,
                _ = self.caller.recv_async() => return Err(caller_gone()),
            };
            let (address, far_region) = match order {
                dispatch::DispatchOrder::Send {
                    address,
                    attempt,
                    slots_in_use,
                    far_region,
                    ..
                } => {
                    self.observe_send(arrival, attempt, slots_in_use);
                    (address, far_region)
                }
                dispatch::DispatchOrder::Refuse(error) => return Err(error),
            };
            let left = deadline.since(self.cx.clock.now());
            let gate = Gate::default();
            let attempt = self.attempt(address, far_region, left, gate.clone());
            let mut running = monoio::spawn(attempt.run());
            match monoio::time::timeout(left, &mut running).await {
                Ok((outcome, answer)) => {
                    ticket.finished(outcome);
                    if let Some(answer) = answer {
                        return Ok(answer);
                    }
                }
                Err(_) if gate.abandon() => ticket.finished(router::Outcome::NothingSent),
                Err(_) => {
                    ticket.finished(router::Outcome::TimedOut);
                    let order = ticket.next().await;
                    monoio::spawn(settle(running, ticket));
                    return Err(late(order));
                }
            }
        }
    }

    fn tenant(&self) -> observe::Tenant<'_> {
        observe::Tenant { team: self.team.as_ref(), class: &self.class.name }
    }

    /// Records the wait before the first attempt, and the use of the chosen executor.
    fn observe_send(&self, arrival: time::Monotonic, attempt: u32, slots_in_use: u32) {
        if attempt == FIRST_ATTEMPT {
            observe::queue_wait(self.tenant(), self.cx.clock.now().since(arrival));
        }
        observe::slots_in_use(self.tenant(), slots_in_use);
    }

    /// Records the end of the request; what was not run has no latency.
    fn observe(&self, began: time::Monotonic, result: &RunEnd) {
        let run = match result {
            Ok(_) => error::RunState::Run,
            Err(error) => error.get_kind().get_properties().run,
        };
        observe::request(self.tenant(), run);
        if run != error::RunState::NotRun {
            observe::request_latency(self.tenant(), self.cx.clock.now().since(began));
        }
    }

    fn view(&self, arrival: time::Monotonic, deadline: time::Monotonic) -> router::RequestView {
        let team = self.team.clone().or_else(|| NO_TEAM.parse().ok());
        router::RequestView {
            id: self.number,
            class: self.target.class.clone(),
            team: team.expect("the name is valid"),
            arrival,
            deadline: Some(deadline),
            keyed: self.target.key.is_some(),
            unrepeatable: self.class.unrepeatable,
        }
    }

    fn attempt(
        &self,
        address: std::net::SocketAddr,
        far_region: Option<id::RegionName>,
        left: Duration,
        gate: Gate,
    ) -> Attempt {
        let (cx, head, body) = (self.cx.clone(), self.head.clone(), self.body.clone());
        Attempt { cx, address, far_region, head, body, left, gate }
    }
}

/// Reads on after the deadline, so that the slot is free once the executor has answered.
async fn settle(running: monoio::task::JoinHandle<AttemptEnd>, ticket: dispatch::Ticket) {
    let end = monoio::time::timeout(SETTLE_LIMIT, running).await;
    if matches!(end, Ok((router::Outcome::Answered { .. }, _))) {
        ticket.settled();
    }
}

fn late(order: dispatch::DispatchOrder) -> error::Error {
    match order {
        dispatch::DispatchOrder::Refuse(error) => error,
        dispatch::DispatchOrder::Send { .. } => {
            let message = "the deadline passed while the request was running";
            error::Error::new(error::ErrorKind::DeadlineExceeded, message)
        }
    }
}

fn caller_gone() -> error::Error {
    error::Error::new(error::ErrorKind::CallerTimeout, "the caller went away while it waited")
}
