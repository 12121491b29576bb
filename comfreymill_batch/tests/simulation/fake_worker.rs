use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::event;
use comfreymill_types::id;
use comfreymill_types::size;

use super::{Behaviour, FakeRun, name};

/// Answer to a heartbeat.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) worker: usize,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) term: u64,
    pub(crate) sequence: u64,
    pub(crate) sent_millis: u64,
    pub(crate) lease: Duration,
    pub(crate) assignments: Vec<action::Assignment>,
}

/// Worker that enforces leases by a drifting clock and follows the contract with the scheduler.
#[derive(Clone, Debug)]
pub(crate) struct FakeWorker {
    pub(crate) name: id::WorkerName,
    pub(crate) zone: &'static str,
    pub(crate) capacity: size::Resources,
    pub(crate) executors: Vec<event::ExecutorReport>,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) sequence: u64,
    /// Term and sequence of the last answer that the worker accepted.
    pub(crate) last_answer: (u64, u64),
    /// Speed of the worker's clock relative to real time, in parts per million.
    pub(crate) clock_ppm: u64,
    pub(crate) lease_end_millis: u64,
    pub(crate) partitioned_until_millis: u64,
    pub(crate) next_heartbeat_millis: u64,
    pub(crate) fails_everything: bool,
    pub(crate) runs: BTreeMap<id::AttemptId, FakeRun>,
}

impl FakeWorker {
    pub(crate) fn new(number: usize, zone: &'static str, capacity: size::Resources) -> Self {
        Self {
            name: name(&format!("w{number:02}")),
            zone,
            capacity,
            executors: Vec::new(),
            incarnation: id::Incarnation::new(1),
            sequence: 0,
            last_answer: (0, 0),
            clock_ppm: 1_000_000,
            lease_end_millis: 0,
            partitioned_until_millis: 0,
            next_heartbeat_millis: 0,
            fails_everything: false,
            runs: BTreeMap::new(),
        }
    }

    /// Returns the worker's clock at a real time.
    pub(crate) fn clock_millis(&self, real_millis: u64) -> u64 {
        real_millis * self.clock_ppm / 1_000_000
    }

    /// Restarts the worker without its attempts, as after a power failure.
    pub(crate) fn restart(&mut self) {
        self.incarnation = id::Incarnation::new(self.incarnation.get() + 1);
        self.sequence = 0;
        self.last_answer = (0, 0);
        self.runs.clear();
    }

    pub(crate) fn heartbeat(&mut self) -> event::Heartbeat {
        self.sequence += 1;
        event::Heartbeat {
            worker: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            region: name("tas-south"),
            zone: name(self.zone),
            rack: name("r1"),
            capacity: self.capacity,
            executors: self.executors.clone(),
            attempts: self.runs.values().map(FakeRun::report).collect(),
            leaving: false,
            usage_age: Duration::from_secs(2),
        }
    }

    /// Applies an answer and returns the assignments that it starts.
    pub(crate) fn accept_answer(&mut self, answer: &Answer) -> Vec<action::Assignment> {
        let order = (answer.term, answer.sequence);
        if answer.incarnation != self.incarnation || order <= self.last_answer {
            return Vec::new();
        }
        self.last_answer = order;
        let lease_millis = answer.lease.as_millis() as u64;
        self.lease_end_millis = self.clock_millis(answer.sent_millis) + lease_millis;
        let listed: Vec<id::AttemptId> = answer.assignments.iter().map(|a| a.attempt).collect();
        self.runs.retain(|id, _| listed.contains(id));
        let mut started = Vec::new();
        for assignment in &answer.assignments {
            if self.apply_assignment(assignment) {
                started.push(assignment.clone());
            }
        }
        started
    }

    fn apply_assignment(&mut self, assignment: &action::Assignment) -> bool {
        let starts =
            matches!(assignment.directive, action::Directive::Run | action::Directive::Throttle(_));
        let is_new = !self.runs.contains_key(&assignment.attempt);
        if is_new {
            self.runs.insert(assignment.attempt, new_run(assignment));
        }
        let run = self.runs.get_mut(&assignment.attempt).expect("it was inserted");
        if run.state.is_ended() {
            return false;
        }
        run.paused = assignment.directive == action::Directive::Checkpoint;
        run.speed_percent = match assignment.directive {
            action::Directive::Throttle(percent) => u64::from(percent.get()),
            _ => 100,
        };
        if assignment.directive == action::Directive::Stop {
            run.state = event::AttemptState::Stopped { progress: run.progress() };
        }
        is_new && starts
    }

    /// Stops all attempts if the lease has expired by the worker's clock.
    pub(crate) fn enforce_lease(&mut self, real_millis: u64) {
        if self.clock_millis(real_millis) < self.lease_end_millis {
            return;
        }
        for run in self.runs.values_mut().filter(|run| !run.state.is_ended()) {
            run.state = event::AttemptState::Stopped { progress: run.progress() };
        }
    }

    /// Runs the programs for `millis` and returns the units that were done.
    pub(crate) fn work<B>(&mut self, millis: u64, behaviour: B) -> Vec<(id::AttemptId, u32)>
    where
        B: Fn(id::TaskId) -> Behaviour,
    {
        let mut done = Vec::new();
        let fails_everything = self.fails_everything;
        for run in self.runs.values_mut().filter(|run| !run.state.is_ended()) {
            let program = behaviour(run.attempt.task);
            if run.paused {
                checkpoint_paused(run, program);
                continue;
            }
            run.begun = true;
            run.state = event::AttemptState::Running;
            if fails_everything {
                fail(run, "the worker cannot run programs");
                continue;
            }
            run.millis += millis * run.speed_percent / 100;
            while run.millis >= 1_000 && !run.state.is_ended() {
                run.millis -= 1_000;
                advance(run, program);
                done.push((run.attempt, run.units));
            }
        }
        done
    }

    /// Returns the sum of the resources reserved for running attempts and executors.
    pub(crate) fn load(&self) -> size::Resources {
        let executors = self.executors.iter().map(|executor| executor.reserved);
        let runs = self.runs.values().filter(|run| !run.state.is_ended()).map(|run| run.reserved);
        executors.chain(runs).fold(size::Resources::ZERO, |sum, next| sum + next)
    }
}

fn new_run(assignment: &action::Assignment) -> FakeRun {
    let units = assignment.checkpoint.as_ref().map_or(0, |checkpoint| checkpoint.sequence as u32);
    FakeRun {
        attempt: assignment.attempt,
        reserved: assignment.reserved,
        state: event::AttemptState::Starting,
        units,
        saved: units,
        millis: 0,
        paused: false,
        speed_percent: 100,
        begun: false,
    }
}

fn checkpoint_paused(run: &mut FakeRun, program: Behaviour) {
    if program.can_checkpoint && run.begun {
        run.saved = run.units;
    }
}

fn advance(run: &mut FakeRun, program: Behaviour) {
    run.units += 1;
    if program.fails {
        fail(run, "the program is broken");
    } else if run.units >= program.units {
        run.state = event::AttemptState::Finished;
    } else if program.checkpoint_every.is_some_and(|every| run.units.is_multiple_of(every)) {
        run.saved = run.units;
    }
}

fn fail(run: &mut FakeRun, reason: &str) {
    let progress = run.progress();
    run.state = event::AttemptState::Failed { reason: reason.to_owned(), progress };
}
