use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use comfreymill_jobs::id;
use comfreymill_jobs::job;
use comfreymill_jobs::routes;
use comfreymill_jobs::scheduler;
use comfreymill_jobs::state;
use comfreymill_jobs::worker;
use comfreymill_types::time;

const LEASE: Duration = Duration::from_secs(6);
/// Tail latency that serving tasks report, in milliseconds.
const TAIL_MS: u32 = 50;

/// Run that the leader has started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    worker: id::WorkerNumber,
    task: id::TaskId,
    run: id::Run,
    is_serving: bool,
}

/// Scheduler of a leader with its replicated state, and workers that carry out every order.
pub(super) struct Leader {
    state: state::State,
    pub(super) scheduler: scheduler::Scheduler,
    now: time::Monotonic,
    index: u64,
    ends: u64,
    next_job: u64,
    pub(super) runs: Vec<Run>,
}

impl Leader {
    /// Creates the leader of a fleet of `workers` that have answered their first poll.
    pub(super) fn new(workers: u32) -> Self {
        let mut state = state::State::default();
        state.apply(1, state::Command::Lead);
        let table = routes::RouteTable {
            version: 1,
            queues: vec![queue()],
            pools: vec![routes::Pool {
                name: "workers".to_owned(),
                is_guarded: true,
                is_standby: false,
            }],
            ..routes::RouteTable::default()
        };
        let table = Box::new(table);
        state.apply(2, state::Command::SetRoutes { table, document: "{}".into() });
        let mut index = 2;
        for number in 0..workers {
            index += 1;
            let announced = Box::new(announcement(number));
            state.apply(index, state::Command::AddWorker { announced });
        }
        let now = time::Monotonic::from_millis(1_000);
        let cfg = scheduler::Config::new(LEASE);
        let scheduler = scheduler::Scheduler::new(cfg, &state, Duration::ZERO, now);
        let mut leader =
            Self { state, scheduler, now, index, ends: 0, next_job: 0, runs: Vec::new() };
        leader.report();
        leader.advance(Duration::from_millis(20));
        leader
    }

    /// Advances the clock and does the work that is due.
    pub(super) fn advance(&mut self, span: Duration) {
        self.now = self.now + span;
        self.scheduler.tick(self.now, Duration::from_micros(self.now.as_micros()));
    }

    /// Lets all workers report their runs; returns the time that reading the reports takes, and the
    /// longest time of one.
    pub(super) fn report(&mut self) -> (Duration, Duration) {
        let mut reports: BTreeMap<id::WorkerNumber, worker::Report> = BTreeMap::new();
        for number in self.state.get_workers().keys() {
            let clock_ms = Some(self.now.as_micros() / 1_000);
            reports.insert(*number, worker::Report { clock_ms, ..worker::Report::default() });
        }
        for run in &self.runs {
            let running = worker::RunStatus {
                task: run.task,
                run: run.run,
                checkpoint: String::new(),
                percent: 10,
                load: run.is_serving.then_some(TAIL_MS),
            };
            reports.entry(run.worker).or_default().running.push(running);
        }
        let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
        for (number, report) in reports {
            let before = Instant::now();
            self.answer_poll(number, report);
            let elapsed = before.elapsed();
            total += elapsed;
            longest = longest.max(elapsed);
        }
        (total, longest)
    }

    fn answer_poll(&mut self, number: id::WorkerNumber, report: worker::Report) {
        let answer = scheduler::Answer::Poll(scheduler::PollAnswer::Report(report));
        self.scheduler.answered(self.now, number, self.now, answer);
        for command in self.scheduler.take_commands() {
            self.commit(command);
        }
    }

    /// Commits a job of one step.
    pub(super) fn submit(&mut self, step: job::StepSpec) {
        self.next_job += 1;
        let spec = job::JobSpec { payload: String::new(), steps: vec![step], schedule: None };
        let submission = state::Submission {
            job: id::JobKey::new(self.next_job),
            queue: "queue".to_owned(),
            max_attempts: 2,
            spec,
        };
        self.commit(state::Command::Submit(Box::new(submission)));
    }

    fn commit(&mut self, command: state::Command) {
        self.index += 1;
        let (now, state) = (self.now, &mut self.state);
        match state.apply(self.index, command) {
            state::Effect::JobAdded(key) => {
                self.scheduler.job_added(now, key, &state.get_jobs()[&key]);
            }
            state::Effect::JobCancelled(key) => self.scheduler.job_over(now, key),
            state::Effect::EndsNoted { worker, ends } => {
                self.scheduler.ends_noted(now, worker, &ends, state);
            }
            _ => {}
        }
    }

    /// Places tasks until nothing is left to place; returns the time of all calls and of the longest.
    pub(super) fn place(&mut self) -> (Duration, Duration) {
        let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
        loop {
            let before = Instant::now();
            self.scheduler.place(self.now);
            let elapsed = before.elapsed();
            total += elapsed;
            longest = longest.max(elapsed);
            if !self.scheduler.has_placement_left() {
                return (total, longest);
            }
        }
    }

    /// Lets another leader take over, which knows no run; returns the time that it takes to begin.
    pub(super) fn take_over(&mut self) -> Duration {
        self.index += 1;
        self.state.apply(self.index, state::Command::Lead);
        let cfg = scheduler::Config::new(LEASE);
        let since_1970 = Duration::from_micros(self.now.as_micros());
        let before = Instant::now();
        let scheduler = scheduler::Scheduler::new(cfg, &self.state, since_1970, self.now);
        let elapsed = before.elapsed();
        self.scheduler = scheduler;
        elapsed
    }

    /// Carries out the start orders given so far; returns their number.
    pub(super) fn start_all(&mut self) -> usize {
        let mut started = 0;
        for order in self.scheduler.take_orders() {
            let scheduler::Order::Start { worker, task, run, spec, .. } = order else { continue };
            started += 1;
            let kind = spec.steps.first().map(job::StepSpec::kind);
            let is_serving = kind == Some(job::StepKind::Serving);
            self.runs.push(Run { worker, task, run, is_serving });
            let answer = scheduler::StartAnswer::Started;
            let answer = scheduler::Answer::Start { task, run, answer, clock_ms: None };
            self.scheduler.answered(self.now, worker, self.now, answer);
        }
        started
    }

    /// Lets a run end.
    pub(super) fn end(&mut self, position: usize) {
        let Run { worker, task, run, .. } = self.runs.swap_remove(position);
        self.ends += 1;
        let (kind, checkpoint) = (worker::EndKind::Done, String::new());
        let end = worker::End { number: self.ends, task, run, kind, checkpoint };
        self.commit(state::Command::NoteEnds { worker, ends: vec![end] });
    }
}

fn queue() -> routes::Queue {
    routes::Queue {
        name: "queue".to_owned(),
        host: "jobs.example".to_owned(),
        prefix: "/queue/".to_owned(),
        pool: "workers".to_owned(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.5,
        target_latency_ms: 500,
        timeout_ms: 3_000,
        advice: None,
    }
}

fn announcement(number: u32) -> worker::Announcement {
    let [_, high, middle, low] = number.to_be_bytes();
    worker::Announcement {
        name: id::WorkerName::new(&format!("worker-{number}")),
        born_unix_ms: 10,
        sequence: 1,
        address: ([10, high, middle, low], 80).into(),
        pool: "workers".to_owned(),
        zone: "zone".to_owned(),
        capacity: worker::Resources { cpu_milli: 16_000, mem_mb: 64_000, gpus: 0 },
        labels: vec!["kind".to_owned(), format!("rack-{}", number / 20)],
        leaving_in: None,
        clock_ms: Some(1),
        machine: None,
    }
}
