use std::time::Duration;

use comfreymill_types::error;
use comfreymill_types::time;

use super::queue::QueuedRequest;
use super::request::{Request, RequestState};
use super::router::{Router, UnresolvedAttempt};
use super::{Action, Outcome, Step};

/// Lowest HTTP status code that counts as a failure of the executor.
const FIRST_FAILURE_STATUS: u16 = 500;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// # End of attempts
impl Router {
    /// Handles the end of an attempt; an outcome that matches no running attempt is ignored.
    ///
    /// A caller that disconnects while its request is queued is reported with attempt 0.
    pub fn finished(&mut self, now: time::Monotonic, request: u64, attempt: u32, outcome: Outcome) {
        let Some(req) = self.requests.get(&request) else { return };
        match req.state {
            RequestState::Queued if outcome == Outcome::CallerGone => {
                self.leave_queue(now, request);
            }
            RequestState::Running { executor, since } if req.attempt == attempt => {
                self.history.add(request, Step::Ended { at: now, attempt, outcome });
                self.end_attempt(now, request, executor, since, outcome);
                self.dispatch(now, self.executors[executor].pool);
                self.reclaim_if_idle(executor);
            }
            RequestState::Queued | RequestState::Running { .. } => {}
        }
    }

    /// Frees the slot of an attempt with unknown outcome that no longer runs at its executor.
    pub fn resolved(&mut self, now: time::Monotonic, request: u64, attempt: u32) {
        if let Some(unresolved) = self.unresolved_attempts.remove(&(request, attempt)) {
            self.release_slot(now, unresolved.executor);
        }
    }

    fn leave_queue(&mut self, now: time::Monotonic, request: u64) {
        let outcome = Outcome::CallerGone;
        self.history.add(request, Step::Ended { at: now, attempt: 0, outcome });
        if let Some(req) = self.requests.remove(&request) {
            let waiting = self.queued_request(request, &req);
            self.dequeue(&waiting);
        }
    }

    fn end_attempt(
        &mut self,
        now: time::Monotonic,
        request: u64,
        ix: usize,
        since: time::Monotonic,
        outcome: Outcome,
    ) {
        let executor = &mut self.executors[ix];
        executor.running.retain(|(id, _)| *id != request);
        let Some(req) = self.requests.remove(&request) else { return };
        let pool = executor.pool;
        match outcome {
            Outcome::Answered { latency, status } => {
                self.pools[pool].in_use -= 1;
                self.answered(now, ix, req.class, latency, status);
            }
            Outcome::NothingSent | Outcome::RefusedByUpstream => {
                self.pools[pool].in_use -= 1;
                self.not_run(now, request, ix, req, outcome);
            }
            Outcome::SentNoAnswer | Outcome::TimedOut => {
                self.hold_slot(now, request, &req, ix);
                self.suspect_connections(now, ix, since);
                let error = unanswered_error(outcome);
                self.refuse(now, request, error);
            }
            Outcome::CutShort => {
                self.hold_slot(now, request, &req, ix);
                self.record_failure(now, ix);
                let kind = error::ErrorKind::UpstreamAnswer;
                self.refuse(
                    now,
                    request,
                    error::Error::new(kind, "the executor's answer was cut short"),
                );
            }
            Outcome::CallerGone => self.hold_slot(now, request, &req, ix),
        }
        self.reindex(now, ix);
    }

    fn answered(
        &mut self,
        now: time::Monotonic,
        ix: usize,
        class: usize,
        latency: Duration,
        status: u16,
    ) {
        if status >= FIRST_FAILURE_STATUS {
            self.record_failure(now, ix);
            return;
        }
        let micros = latency.as_micros() as f64;
        let state = &mut self.classes[class];
        let pool = &mut self.pools[state.pool];
        if !self.executors[ix].remote || pool.local_serving == 0 {
            state.latency.add(micros);
            pool.service_time.add(micros);
        }
        let usual = state.latency.get_mean().max(1.0);
        self.record_success(now, ix, micros / usual, usual);
    }

    /// Queues a request that is proved not to have run for another executor, or refuses it.
    fn not_run(
        &mut self,
        now: time::Monotonic,
        request: u64,
        ix: usize,
        mut req: Request,
        outcome: Outcome,
    ) {
        if outcome == Outcome::NothingSent {
            self.request_probe(ix);
        }
        self.record_failure(now, ix);
        self.reindex(now, ix);
        if now >= req.deadline {
            let kind = error::ErrorKind::ExpiredInQueue;
            let error = error::Error::new(kind, "the deadline passed before the request was sent");
            self.refuse(now, request, error);
            return;
        }
        if !self.retry_budget.try_spend() {
            self.refuse(now, request, budget_error(outcome));
            return;
        }
        req.avoid = Some(ix);
        if let Err(error) = self.check_reachable(self.classes[req.class].pool, req.class) {
            self.refuse(now, request, error);
            return;
        }
        self.enqueue(request, req);
    }

    /// Counts a slot as in use until its attempt can no longer be running.
    fn hold_slot(&mut self, now: time::Monotonic, request: u64, req: &Request, ix: usize) {
        let longest_run = self.classes[req.class].deadline;
        let until = now + self.cfg.get_unresolved_hold().max(longest_run);
        self.executors[ix].unresolved += 1;
        self.unresolved_attempts
            .insert((request, req.attempt), UnresolvedAttempt { executor: ix, until });
    }

    /// Frees the slot of an attempt with unknown outcome.
    pub(super) fn release_slot(&mut self, now: time::Monotonic, ix: usize) {
        let executor = &mut self.executors[ix];
        executor.unresolved -= 1;
        let pool = executor.pool;
        self.pools[pool].in_use -= 1;
        self.reindex(now, ix);
        self.dispatch(now, pool);
        self.reclaim_if_idle(ix);
    }

    /// Refuses a queued request that can no longer be answered in time; returns whether it did.
    pub(super) fn refuse_if_late(&mut self, now: time::Monotonic, waiting: &QueuedRequest) -> bool {
        let left = waiting.deadline.since(now).as_micros() as f64;
        let latency = &self.classes[waiting.class].latency;
        let likely = if latency.get_samples() > 0 { latency.get_mean() } else { 0.0 };
        let error = if now >= waiting.deadline {
            let kind = error::ErrorKind::ExpiredInQueue;
            error::Error::new(kind, "the deadline passed while the request waited")
        } else if likely > left {
            let kind = error::ErrorKind::Overloaded;
            error::Error::new(kind, "too little time is left before the deadline")
        } else {
            return false;
        };
        self.dequeue(waiting);
        self.refuse(now, waiting.request, error.retry_after(RETRY_AFTER));
        true
    }

    pub(super) fn request_probe(&mut self, ix: usize) {
        let view = &self.executors[ix].view;
        let executor = view.name.clone();
        self.actions.push(Action::Probe { executor, address: view.address });
    }
}

fn unanswered_error(outcome: Outcome) -> error::Error {
    if outcome == Outcome::TimedOut {
        let kind = error::ErrorKind::DeadlineExceeded;
        return error::Error::new(kind, "the deadline passed while the request was running");
    }
    let kind = error::ErrorKind::OutcomeUnknown;
    error::Error::new(kind, "the request was sent, but no answer was received")
}

fn budget_error(outcome: Outcome) -> error::Error {
    let error = if outcome == Outcome::NothingSent {
        let kind = error::ErrorKind::NoExecutor;
        error::Error::new(kind, "the executor could not be reached and no retry is left")
    } else {
        let kind = error::ErrorKind::Overloaded;
        error::Error::new(kind, "the executor refused the request and no retry is left")
    };
    error.retry_after(RETRY_AFTER)
}
