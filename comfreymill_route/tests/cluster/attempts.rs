use std::time::Duration;

use comfreymill_route::router::Outcome;
use comfreymill_types::id;
use rand::RngExt as _;

use super::message::{Attempt, Event};
use super::simulation::Simulation;

const MAX_RUN_MILLIS: u64 = 300;

/// # Progress of an attempt: sent, started, ended and answered
impl Simulation {
    pub(super) fn send(
        &mut self,
        entry: usize,
        request: u64,
        name: &id::ExecutorName,
        number: u32,
    ) {
        let incarnation = self.entries[entry].incarnation;
        let unrepeatable = self.unrepeatable.contains(&request);
        let attempt =
            Attempt { entry, incarnation, request, number, unrepeatable, sent_at: self.now };
        let executor = self.executor(name);
        if let Some(open) = self.entries[entry].open.get_mut(&request) {
            open.1 = Some(attempt);
        }
        let delay = self.delay();
        if self.fault_occurs(5) {
            self.schedule_after(delay, Event::Outcome { attempt, outcome: Outcome::NothingSent });
            return;
        }
        if self.fault_occurs(5) {
            self.schedule_after(delay, Event::Outcome { attempt, outcome: Outcome::SentNoAnswer });
            if self.chance(50) {
                return;
            }
        }
        let delay = self.delay();
        self.schedule_after(delay, Event::Arrive { executor, attempt });
    }

    pub(super) fn arrive(&mut self, executor: usize, attempt: Attempt) {
        let refused = if !self.executors[executor].is_up {
            Some(Outcome::NothingSent)
        } else if self.fault_occurs(3) {
            Some(Outcome::RefusedByUpstream)
        } else {
            None
        };
        let delay = self.delay();
        if let Some(outcome) = refused {
            self.schedule_after(delay, Event::Outcome { attempt, outcome });
            return;
        }
        self.check_start(attempt);
        self.executors[executor].start(attempt);
        self.started += 1;
        let incarnation = self.executors[executor].incarnation;
        let run = self.rng.random_range(1..=MAX_RUN_MILLIS);
        let run = if self.is_faulty { run } else { run.min(8) };
        self.schedule_after(run, Event::RunEnds { executor, incarnation, attempt });
    }

    fn check_start(&self, attempt: Attempt) {
        let request = attempt.request;
        assert!(!self.reported_not_run.contains(&request), "{attempt:?} starts after `not run`");
        let mut running = self.executors.iter().flat_map(|executor| &executor.running);
        let twice = running.find(|running| running.request == request);
        assert_eq!(twice, None, "{attempt:?} starts while it runs elsewhere");
        if attempt.unrepeatable {
            assert_eq!(self.starts(request), 0, "{attempt:?} starts again");
        }
    }

    pub(super) fn run_ends(&mut self, executor: usize, incarnation: u64, attempt: Attempt) {
        if !self.executors[executor].end(incarnation, attempt) {
            return;
        }
        let delay = self.delay();
        let outcome = if self.fault_occurs(4) {
            Outcome::CutShort
        } else if self.fault_occurs(4) {
            return;
        } else {
            let latency = self.now.since(attempt.sent_at) + Duration::from_millis(delay);
            Outcome::Answered { latency, status: 200 }
        };
        self.schedule_after(delay, Event::Outcome { attempt, outcome });
        self.schedule_after(delay + 1, Event::Settled { attempt });
    }

    pub(super) fn outcome(&mut self, attempt: Attempt, outcome: Outcome) {
        let entry = attempt.entry;
        if !self.entries[entry].is_alive(attempt.incarnation) {
            return;
        }
        let open = self.entries[entry].open.get(&attempt.request);
        let is_current = open.is_some_and(|(_, running)| *running == Some(attempt));
        if is_current && matches!(outcome, Outcome::Answered { .. }) {
            self.entries[entry].answer(attempt.request);
            self.answered += 1;
        } else if is_current {
            self.entries[entry].open.get_mut(&attempt.request).expect("it is open").1 = None;
        }
        let (request, number) = (attempt.request, attempt.number);
        self.entries[entry].router.finished(self.now, request, number, outcome);
        self.run_actions(entry);
    }
}
