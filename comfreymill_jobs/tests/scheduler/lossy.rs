//! Runs of cancelled jobs end in time, although orders and answers are lost, delayed and refused.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreymill_jobs::id::{Fence, JobKey, Run, TaskId, WorkerNumber};
use comfreymill_jobs::scheduler::{Answer, Order, PollAnswer, Refusal, StartAnswer};
use comfreymill_jobs::state::Command;
use comfreymill_jobs::worker::{End, EndKind, Report};
use comfreymill_types::time::Monotonic;
use quickcheck::{Gen, QuickCheck, TestResult};

use crate::support::{Leader, Start, spec, step};

const TICK: Duration = Duration::from_millis(20);
/// Time to connect to a worker and to wait for its answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_400);
/// Time that a worker takes to stop a run.
const STOP_TIME: Duration = Duration::from_millis(200);
/// Time in which a run has to end after its job is cancelled, and from `CONTACT` after the last
/// disruption and after its start.
const BOUND: Duration = Duration::from_millis(3_000 + 200);
const CONTACT: Duration = Duration::from_secs(4);
/// Time for which orders and answers are lost, delayed and refused.
const TROUBLE: Duration = Duration::from_secs(8);
const JOBS: u64 = 4;

/// Worker that takes orders one at a time.
#[derive(Default)]
struct Worker {
    fence: Fence,
    runs: BTreeMap<TaskId, RunState>,
    /// Highest stopped run of each task.
    stopped: BTreeMap<TaskId, Run>,
    ends: Vec<End>,
    last_end: u64,
}

struct RunState {
    start: Start,
    started_at: Monotonic,
    ends_at: Option<Monotonic>,
}

impl Worker {
    /// Carries out an order; returns the answer.
    fn carry_out(&mut self, now: Monotonic, fence: Fence, order: &Order, is_deaf: bool) -> Answer {
        let is_fenced = fence < self.fence;
        self.fence = self.fence.max(fence);
        match *order {
            Order::Start { worker, task, run, .. } => {
                let last = self.stopped.get(&task).copied().unwrap_or_default();
                let answer = if is_fenced {
                    StartAnswer::Refused(Refusal::Fenced)
                } else if run <= last || self.runs.contains_key(&task) {
                    StartAnswer::Refused(Refusal::Superseded)
                } else {
                    let start = Start { worker, task, run };
                    self.runs.insert(task, RunState { start, started_at: now, ends_at: None });
                    StartAnswer::Started
                };
                Answer::Start { task, run, answer, clock_ms: None }
            }
            Order::Stop { task, run, .. } => {
                if !is_fenced && !is_deaf {
                    let last = self.stopped.entry(task).or_default();
                    *last = run.max(*last);
                    let state = self.runs.get_mut(&task).filter(|state| state.start.run == run);
                    if let Some(state) = state {
                        state.ends_at.get_or_insert(now + STOP_TIME);
                    }
                }
                Answer::Stop { task, run, is_accepted: !is_fenced }
            }
            Order::Poll { noted, .. } => {
                if is_fenced {
                    return Answer::Poll(PollAnswer::Fenced);
                }
                self.ends.retain(|end| end.number > noted);
                let running = self.runs.values().map(|state| state.start.status()).collect();
                let clock_ms = Some(5_000 + now.as_micros() / 1_000);
                let ended = self.ends.clone();
                Answer::Poll(PollAnswer::Report(Report {
                    clock_ms,
                    running,
                    ended,
                    ..Report::default()
                }))
            }
            Order::Pace { .. } => panic!("no run is slowed down"),
        }
    }

    fn end_stopped(&mut self, now: Monotonic) {
        let is_over = |_: &TaskId, state: &mut RunState| state.ends_at.is_some_and(|at| at <= now);
        for state in self.runs.extract_if(.., is_over).map(|(_, state)| state) {
            self.last_end += 1;
            self.ends.push(state.start.end(self.last_end, EndKind::Stopped));
        }
    }
}

/// What happens to an order, at a time; the earliest first.
#[derive(Clone)]
enum Event {
    /// It is sent, unless the queue is still busy with the one before.
    Sent(Order),
    /// The worker carries it out, and nobody hears the answer.
    CarriedOut(Order),
    /// The worker answers it once an end is to be reported, at the latest at a time.
    Held { order: Order, until: Monotonic, sent_at: Monotonic },
    /// The leader learns that there is no answer.
    Unanswered { order: Order, sent_at: Monotonic },
}

struct World {
    leader: Leader,
    random: u64,
    workers: BTreeMap<WorkerNumber, Worker>,
    events: BTreeMap<(Monotonic, u64), (Fence, Event)>,
    last_event: u64,
    /// Until when the queues of a worker, for polls and for other orders, wait for an answer.
    busy: BTreeMap<(WorkerNumber, bool), Monotonic>,
    cancelled: BTreeMap<JobKey, Monotonic>,
    trouble_ends: Monotonic,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut leader = Leader::new();
        let workers = ["a", "b", "c"].map(|name| (leader.worker(name), Worker::default()));
        let trouble_ends = leader.now + TROUBLE;
        Self {
            leader,
            random: seed,
            workers: workers.into(),
            events: BTreeMap::new(),
            last_event: 0,
            busy: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            trouble_ends,
        }
    }

    /// Returns a number below `below` (splitmix64).
    fn random(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % below
    }

    fn add_event(&mut self, at: Monotonic, fence: Fence, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), (fence, event));
    }

    fn tick(&mut self) {
        self.leader.advance(TICK);
        let (now, fence) = (self.leader.now, self.leader.scheduler.get_fence());
        self.workers.values_mut().for_each(|worker| worker.end_stopped(now));
        for order in std::mem::take(&mut self.leader.orders) {
            self.add_event(now, fence, Event::Sent(order));
        }
        while let Some((&key, _)) = self.events.first_key_value()
            && key.0 <= now
            && let Some((fence, event)) = self.events.remove(&key)
        {
            self.handle(now, fence, event);
        }
    }

    fn handle(&mut self, now: Monotonic, fence: Fence, event: Event) {
        match event {
            Event::Sent(order) => self.send(now, fence, order),
            Event::CarriedOut(order) => {
                self.carry_out(now, fence, &order);
            }
            Event::Held { order, until, sent_at } => {
                let has_news = !self.workers[&order.worker()].ends.is_empty();
                if !has_news && now < until {
                    self.add_event(now + TICK, fence, Event::Held { order, until, sent_at });
                    return;
                }
                self.busy.remove(&(order.worker(), order.task().is_none()));
                let answer = self.carry_out(now, fence, &order);
                self.answer(fence, order.worker(), sent_at, answer);
            }
            Event::Unanswered { order, sent_at } => {
                self.busy.remove(&(order.worker(), order.task().is_none()));
                let answer = unanswered(&order, StartAnswer::Unknown);
                self.answer(fence, order.worker(), sent_at, answer);
            }
        }
    }

    fn send(&mut self, now: Monotonic, fence: Fence, order: Order) {
        let queue = (order.worker(), order.task().is_none());
        if let Some(&until) = self.busy.get(&queue) {
            return self.add_event(until.max(now + TICK), fence, Event::Sent(order));
        }
        if order.has_expired(now) {
            let answer = unanswered(&order, StartAnswer::NotSent);
            return self.answer(fence, order.worker(), now, answer);
        }
        let wait = if let Order::Poll { wait, .. } = order { wait } else { Duration::ZERO };
        let is_calm = now >= self.trouble_ends;
        let (fate, delay) = (self.random(6), Duration::from_millis(self.random(4_000)));
        if is_calm || fate > 2 {
            self.busy.insert(queue, now + wait);
            let held = Event::Held { order, until: now + wait, sent_at: now };
            return self.add_event(now, fence, held);
        }
        // Lost, carried out without an answer, or carried out late.
        if fate > 0 {
            let at = if fate == 1 { now } else { now + delay };
            self.add_event(at, fence, Event::CarriedOut(order.clone()));
        }
        let ends = now + wait + ANSWER_LIMIT;
        self.busy.insert(queue, ends);
        self.add_event(ends, fence, Event::Unanswered { order, sent_at: now });
    }

    fn carry_out(&mut self, now: Monotonic, fence: Fence, order: &Order) -> Answer {
        let is_deaf = now < self.trouble_ends && self.random(4) == 0;
        let worker = self.workers.get_mut(&order.worker()).expect("a worker");
        worker.carry_out(now, fence, order, is_deaf)
    }

    fn answer(&mut self, fence: Fence, worker: WorkerNumber, sent_at: Monotonic, answer: Answer) {
        if fence == self.leader.scheduler.get_fence() {
            self.leader.scheduler.answered(self.leader.now, worker, sent_at, answer);
            self.leader.settle();
        }
    }

    fn cancel(&mut self, job: JobKey) {
        self.leader.commit(vec![Command::Cancel { job }]);
        self.leader.settle();
        self.cancelled.insert(job, self.leader.now);
    }

    /// Returns the runs that had to end before now.
    fn late_runs(&self) -> Vec<Start> {
        let runs = self.workers.values().flat_map(|worker| worker.runs.values());
        let late = runs.filter(|state| {
            let cancelled_at = self.cancelled.get(&state.start.task.step.job);
            cancelled_at.is_some_and(|cancelled_at| {
                let disrupted = self.trouble_ends.max(state.started_at) + CONTACT;
                self.leader.now > disrupted.max(*cancelled_at) + BOUND
            })
        });
        late.map(|state| state.start).collect()
    }
}

fn unanswered(order: &Order, start: StartAnswer) -> Answer {
    match *order {
        Order::Start { task, run, .. } => {
            Answer::Start { task, run, answer: start, clock_ms: None }
        }
        Order::Stop { task, run, .. } => Answer::Stop { task, run, is_accepted: false },
        Order::Pace { task, run, .. } => Answer::Pace { task, run, is_accepted: false },
        Order::Poll { .. } => Answer::Poll(PollAnswer::NoAnswer),
    }
}

fn runs_of_cancelled_jobs_end_in_time(seed: u64) -> TestResult {
    let mut world = World::new(seed);
    let mut open: BTreeSet<JobKey> = (1..=JOBS).map(JobKey::new).collect();
    for job in &open {
        world.leader.submit_as(job.get(), spec(vec![step(5)]));
    }
    let end = world.trouble_ends + CONTACT + BOUND * 3;
    let mut most_runs = 0;
    while world.leader.now < end {
        world.tick();
        most_runs =
            world.workers.values().map(|worker| worker.runs.len()).sum::<usize>().max(most_runs);
        // Each job is cancelled about 5 s after the others, and a leader leads for about 6 s.
        if world.random(250) == 0
            && let Some(job) = open.pop_first()
        {
            world.cancel(job);
        }
        if world.leader.now < world.trouble_ends && world.random(300) == 0 {
            let leader = std::mem::replace(&mut world.leader, Leader::new());
            world.leader = leader.into_next_leader();
        }
        let late = world.late_runs();
        if !late.is_empty() {
            return TestResult::error(format!("at {:?}: {late:?}", world.leader.now));
        }
    }
    // A job may be cancelled, or its leader replaced, before a start reaches a worker.
    if most_runs > 0 { TestResult::passed() } else { TestResult::discard() }
}

#[test]
fn runs_of_cancelled_jobs_end_although_orders_are_lost_and_delayed() {
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(100, 11))
        .quickcheck(runs_of_cancelled_jobs_end_in_time as fn(u64) -> TestResult);
}
