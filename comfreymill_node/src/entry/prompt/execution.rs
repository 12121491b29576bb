use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_ledger::request;
use comfreymill_route::router;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::attempt::{Attempt, AttemptResult, ExecutorAnswer};
use super::context::Context;
use super::gate::Gate;
use super::key_record;
use super::keyed_runs::RunResult;
use super::target::Target;
use crate::entry::dispatch;
use crate::metering::observe;

const FIRST_ATTEMPT: u32 = 1;
const NO_TEAM: &str = "none";
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Admitted request, with all that is needed to finish it even after the caller has disconnected.
#[derive(Clone)]
pub(super) struct RequestExecution {
    pub(super) cx: Context,
    pub(super) number: u64,
    pub(super) target: Target,
    pub(super) class: document::Class,
    /// Team of the caller, if the document defines it.
    pub(super) team: Option<id::TeamName>,
    pub(super) timeout: Duration,
    pub(super) head: Rc<http::request::Parts>,
    pub(super) body: Bytes,
    /// Key under which the outcome is recorded.
    pub(super) key: Option<request::RequestKey>,
    /// Digest of the method, class, path, query and body.
    pub(super) digest: id::Digest,
    /// Disconnected when the caller goes away.
    pub(super) caller_disconnect: flume::Receiver<()>,
}

impl RequestExecution {
    /// Runs the request, records its outcome if it has a key, and sends the result to `reply`.
    pub(super) async fn run(self, reply: flume::Sender<RunResult>) {
        let started_at = self.cx.clock.now();
        let Some(key) = &self.key else {
            let result = self.dispatch().await;
            self.observe(started_at, &result);
            reply.send(result).ok();
            return;
        };
        let opening = key_record::open(&self.cx, key, &self.class, self.digest, self.timeout).await;
        let (result, outcome) = match opening {
            Ok(key_record::OpenResult::Stored(answer)) => (key_record::stored_result(answer), None),
            Ok(key_record::OpenResult::Run) => {
                let result = self.dispatch().await;
                let outcome = key_record::outcome(&result);
                (result, Some(outcome))
            }
            // The record may have been opened although the call failed. Nothing was sent to an
            // executor, so it is closed as not run.
            Err(error) if error.get_kind() == error::ErrorKind::CommitUnknown => {
                (Err(error), Some(request::RequestOutcome::NotRun))
            }
            Err(error) => (Err(error), None),
        };
        self.observe(started_at, &result);
        let is_closed = match &outcome {
            Some(outcome) => key_record::close(&self.cx, key, outcome).await,
            None => true,
        };
        reply.send(result.clone()).ok();
        if let Some(outcome) = outcome.filter(|_| !is_closed) {
            // The key stays in progress here until the outcome is recorded, so that no other request
            // opens its record.
            key_record::retry_close(&self.cx, key, &outcome).await;
        }
        self.cx.keyed_runs.finish(key, self.number, &result);
    }

    /// Runs attempts as the dispatcher decides until the request is over.
    async fn dispatch(&self) -> Result<ExecutorAnswer, error::Error> {
        let arrival = self.cx.clock.now();
        let deadline = arrival + self.timeout;
        let mut handle =
            self.cx.dispatcher.submit(self.target.stage_key.clone(), self.view(arrival, deadline));
        loop {
            let step = monoio::select! {
                step = handle.next_step() => step,
                _ = self.caller_disconnect.recv_async() => return Err(caller_disconnected()),
            };
            let (address, remote_region) = match step {
                dispatch::DispatchStep::Send {
                    address,
                    attempt,
                    slots_in_use,
                    remote_region,
                    ..
                } => {
                    self.observe_send(arrival, attempt, slots_in_use);
                    (address, remote_region)
                }
                dispatch::DispatchStep::Refuse(error) => return Err(error),
            };
            let time_left = deadline.since(self.cx.clock.now());
            let gate = Gate::default();
            let attempt = self.attempt(address, remote_region, time_left, gate.clone());
            let mut running = monoio::spawn(attempt.run());
            match monoio::time::timeout(time_left, &mut running).await {
                Ok((outcome, answer)) => {
                    handle.finish_attempt(outcome);
                    if let Some(answer) = answer {
                        return Ok(answer);
                    }
                }
                Err(_) if gate.abandon() => handle.finish_attempt(router::Outcome::NothingSent),
                Err(_) => {
                    handle.finish_attempt(router::Outcome::TimedOut);
                    let step = handle.next_step().await;
                    monoio::spawn(await_late_answer(running, handle));
                    return Err(deadline_error(step));
                }
            }
        }
    }

    fn tenant(&self) -> observe::Tenant<'_> {
        observe::Tenant { team: self.team.as_ref(), class: &self.class.name }
    }

    /// Records the queueing time before the first attempt and the slots in use at the executor.
    fn observe_send(&self, arrival: time::Monotonic, attempt: u32, slots_in_use: u32) {
        if attempt == FIRST_ATTEMPT {
            observe::queue_wait(self.tenant(), self.cx.clock.now().since(arrival));
        }
        observe::slots_in_use(self.tenant(), slots_in_use);
    }

    /// Records the outcome of the request, and its latency unless it was not run.
    fn observe(&self, started_at: time::Monotonic, result: &RunResult) {
        let run = match result {
            Ok(_) => error::RunState::Run,
            Err(error) => error.get_kind().get_properties().run,
        };
        observe::request(self.tenant(), run);
        if run != error::RunState::NotRun {
            observe::request_latency(self.tenant(), self.cx.clock.now().since(started_at));
        }
    }

    fn view(&self, arrival: time::Monotonic, deadline: time::Monotonic) -> router::RequestView {
        let team = self.team.clone().or_else(|| NO_TEAM.parse().ok());
        router::RequestView {
            id: self.number,
            class: self.target.class.clone(),
            team: team.expect("the team name is valid"),
            arrival,
            deadline: Some(deadline),
            keyed: self.target.key.is_some(),
            unrepeatable: self.class.unrepeatable,
        }
    }

    fn attempt(
        &self,
        address: std::net::SocketAddr,
        remote_region: Option<id::RegionName>,
        time_left: Duration,
        gate: Gate,
    ) -> Attempt {
        let (cx, head, body) = (self.cx.clone(), self.head.clone(), self.body.clone());
        Attempt { cx, address, remote_region, head, body, time_left, gate }
    }
}

/// Waits for an answer after the deadline, so that the slot is released once it arrives.
async fn await_late_answer(
    running: monoio::task::JoinHandle<AttemptResult>,
    handle: dispatch::RequestHandle,
) {
    let result = monoio::time::timeout(LATE_ANSWER_TIMEOUT, running).await;
    if matches!(result, Ok((router::Outcome::Answered { .. }, _))) {
        handle.resolve_attempt();
    }
}

fn deadline_error(step: dispatch::DispatchStep) -> error::Error {
    match step {
        dispatch::DispatchStep::Refuse(error) => error,
        dispatch::DispatchStep::Send { .. } => {
            let message = "the deadline passed while the request was running";
            error::Error::new(error::ErrorKind::DeadlineExceeded, message)
        }
    }
}

fn caller_disconnected() -> error::Error {
    error::Error::new(
        error::ErrorKind::CallerTimeout,
        "the caller closed the connection while the request was waiting",
    )
}
