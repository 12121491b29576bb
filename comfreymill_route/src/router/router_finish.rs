use std::time::Duration;

use comfreymill_types::error;
use comfreymill_types::time;

use super::queue::Waiting;
use super::request::{Place, Request};
use super::router::{Doubt, Router};
use super::{Action, Outcome, Step};

/// Lowest HTTP status code that counts as a failure of the executor.
const FIRST_FAILED_STATUS: u16 = 500;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// # End of attempts
impl Router {
    /// Handles the end of an attempt; an outcome that matches no running attempt is ignored.
    ///
    /// A caller that disconnects while its request is queued is reported with attempt 0.
    pub fn finished(&mut self, now: time::Monotonic, request: u64, attempt: u32, outcome: Outcome) {
        let Some(req) = self.requests.get(&request) else { return };
        match req.place {
            Place::Queued if outcome == Outcome::CallerGone => self.leave_queue(now, request),
            Place::Running { executor, since } if req.attempt == attempt => {
                self.history.add(request, Step::Ended { at: now, attempt, outcome });
                self.end_attempt(now, request, executor, since, outcome);
                self.dispatch(now, self.executors[executor].service);
                self.forget_if_idle(executor);
            }
            Place::Queued | Place::Running { .. } => {}
        }
    }

    /// Frees the slot of an attempt with unknown outcome that no longer runs at its executor.
    pub fn settled(&mut self, now: time::Monotonic, request: u64, attempt: u32) {
        if let Some(doubt) = self.doubts.remove(&(request, attempt)) {
            self.settle(now, doubt.executor);
        }
    }

    fn leave_queue(&mut self, now: time::Monotonic, request: u64) {
        let outcome = Outcome::CallerGone;
        self.history.add(request, Step::Ended { at: now, attempt: 0, outcome });
        if let Some(req) = self.requests.remove(&request) {
            let waiting = self.waiting(request, &req);
            self.withdraw(&waiting);
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
        let pool = executor.service;
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
                self.doubt(now, request, &req, ix);
                self.suspect(now, ix, since);
                let error = unknown_error(outcome);
                self.refuse(now, request, error);
            }
            Outcome::CutShort => {
                self.doubt(now, request, &req, ix);
                self.blame(now, ix);
                let kind = error::ErrorKind::UpstreamAnswer;
                self.refuse(now, request, error::Error::new(kind, "the answer was cut short"));
            }
            Outcome::CallerGone => self.doubt(now, request, &req, ix),
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
        if status >= FIRST_FAILED_STATUS {
            self.blame(now, ix);
            return;
        }
        let micros = latency.as_micros() as f64;
        let state = &mut self.classes[class];
        let pool = &mut self.pools[state.service];
        if !self.executors[ix].remote || pool.own_serving == 0 {
            state.latency.add(micros);
            pool.service_time.add(micros);
        }
        let usual = state.latency.get_mean().max(1.0);
        self.praise(now, ix, micros / usual, usual);
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
            self.probe_soon(ix);
        }
        self.blame(now, ix);
        self.reindex(now, ix);
        if now >= req.deadline {
            let kind = error::ErrorKind::ExpiredInQueue;
            let error = error::Error::new(kind, "the deadline passed before the request was sent");
            self.refuse(now, request, error);
            return;
        }
        if !self.budget.take() {
            self.refuse(now, request, budget_error(outcome));
            return;
        }
        req.avoid = Some(ix);
        if let Err(error) = self.check_reachable(self.classes[req.class].service, req.class) {
            self.refuse(now, request, error);
            return;
        }
        self.push(request, req);
    }

    /// Counts a slot as in use until its attempt can no longer be running.
    fn doubt(&mut self, now: time::Monotonic, request: u64, req: &Request, ix: usize) {
        let longest_run = self.classes[req.class].deadline;
        let until = now + self.cfg.get_doubt_hold().max(longest_run);
        self.executors[ix].in_doubt += 1;
        self.doubts.insert((request, req.attempt), Doubt { executor: ix, until });
    }

    /// Frees the slot of an attempt with unknown outcome.
    pub(super) fn settle(&mut self, now: time::Monotonic, ix: usize) {
        let executor = &mut self.executors[ix];
        executor.in_doubt -= 1;
        let pool = executor.service;
        self.pools[pool].in_use -= 1;
        self.reindex(now, ix);
        self.dispatch(now, pool);
        self.forget_if_idle(ix);
    }

    /// Refuses a queued request that can no longer be answered in time; returns whether it did.
    pub(super) fn refuse_if_late(&mut self, now: time::Monotonic, waiting: &Waiting) -> bool {
        let left = waiting.deadline.since(now).as_micros() as f64;
        let latency = &self.classes[waiting.class].latency;
        let likely = if latency.get_samples() > 0 { latency.get_mean() } else { 0.0 };
        let error = if now >= waiting.deadline {
            let kind = error::ErrorKind::ExpiredInQueue;
            error::Error::new(kind, "the deadline passed while the request waited")
        } else if likely > left {
            let kind = error::ErrorKind::Overloaded;
            error::Error::new(kind, "too little time is left for an answer")
        } else {
            return false;
        };
        self.withdraw(waiting);
        self.refuse(now, waiting.request, error.retry_after(RETRY_AFTER));
        true
    }

    pub(super) fn probe_soon(&mut self, ix: usize) {
        let view = &self.executors[ix].view;
        let executor = view.name.clone();
        self.actions.push(Action::Probe { executor, address: view.address });
    }
}

fn unknown_error(outcome: Outcome) -> error::Error {
    if outcome == Outcome::TimedOut {
        let kind = error::ErrorKind::DeadlineExceeded;
        return error::Error::new(kind, "the deadline passed while the request was running");
    }
    let kind = error::ErrorKind::OutcomeUnknown;
    error::Error::new(kind, "the request was sent and no answer came")
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
