//! Compares each choice of a worker with one that looks at all workers.

use std::collections::BTreeMap;

use comfreymill_jobs::id::{TaskId, WorkerNumber};
use comfreymill_jobs::job::{StepKind, StepSpec};
use comfreymill_jobs::scheduler::StartAnswer;
use comfreymill_jobs::worker::{EndKind, Report, Resources};

use crate::support::{Leader, Start, ended, running, spec, step};

const WORKERS: usize = 9;
const OPERATIONS: u32 = 800;
/// Effect of a filler on a serving task before anything was learned.
const EFFECT: f64 = 5.0;

/// Generator of pseudo-random numbers: a linear congruential one with the constants of PCG.
struct Random(u64);

impl Random {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) % end
    }

    fn one_of<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }
}

#[derive(Default)]
struct Model {
    workers: BTreeMap<WorkerNumber, Worker>,
    steps: BTreeMap<TaskId, StepSpec>,
    /// Tasks that have not been started.
    waiting: Vec<TaskId>,
}

struct Worker {
    name: String,
    capacity: Resources,
    is_silent: bool,
    runs: BTreeMap<TaskId, (Start, StepSpec)>,
    ends: u64,
}

impl Worker {
    fn free(&self) -> Resources {
        let mut reserved = Resources::default();
        self.runs.values().for_each(|(_, step)| reserved += step.reserved());
        self.capacity.saturating_sub(&reserved)
    }

    fn count<F: Fn(&StepSpec) -> bool>(&self, is_counted: F) -> i64 {
        self.runs.values().filter(|(_, step)| is_counted(step)).count() as i64
    }

    /// Returns the score for a step, if the worker has room.
    fn score(&self, step: &StepSpec) -> Option<i64> {
        let label = format!("rack-{}", self.name);
        let has_label = step.required_label.as_ref().is_none_or(|other| *other == label);
        if self.is_silent || !has_label || !self.free().covers(&step.reserved()) {
            return None;
        }
        let mut spare = i64::from(self.capacity.cpu_milli);
        for (_, step) in self.runs.values() {
            let part = if step.kind() == StepKind::Serving { 2 } else { 1 };
            spare -= i64::from(step.needs.cpu_milli) / part;
        }
        let is_serving = |step: &StepSpec| step.kind() == StepKind::Serving;
        let free = i64::from(self.free().cpu_milli);
        let score = match step.kind() {
            StepKind::Plain => -free,
            StepKind::Serving => {
                let same = self.count(|other| is_serving(other) && other.image == step.image);
                let other = self.count(|other| is_serving(other) && other.image != step.image);
                let fillers = self.count(|other| other.is_filler);
                -free + 20_000 * (same - other) - fillers * (EFFECT * 2_000.0) as i64
            }
            StepKind::Filler if spare < i64::from(step.needs.cpu_milli) / 2 => return None,
            StepKind::Filler => {
                let cpu_milli = f64::from(step.needs.cpu_milli);
                let share = cpu_milli / f64::from(self.capacity.cpu_milli);
                let loss = if self.count(is_serving) > 0 { EFFECT * share } else { 0.0 };
                spare - (loss * 50_000.0) as i64
            }
        };
        Some(score + if step.data_rack.as_ref() == Some(&label) { 100_000 } else { 0 })
    }

    fn report(&self) -> Report {
        running(&self.runs.values().map(|(start, _)| *start).collect::<Vec<_>>())
    }
}

impl Model {
    /// Checks the starts since the last call, and that no waiting task has room.
    fn check(&mut self, leader: &mut Leader) {
        for start in leader.take_starts() {
            let step = self.steps[&start.task].clone();
            let best = self.workers.values().filter_map(|worker| worker.score(&step)).max();
            let worker = self.workers.get_mut(&start.worker).expect("a known worker");
            assert_eq!(worker.score(&step), best, "{} for {step:?}", worker.name);
            worker.runs.insert(start.task, (start, step));
            self.waiting.retain(|task| *task != start.task);
            leader.started(&start, StartAnswer::Started);
        }
        for task in &self.waiting {
            let mut workers = self.workers.values();
            assert!(!workers.any(|worker| worker.score(&self.steps[task]).is_some()), "{task}");
        }
    }

    fn submit(&mut self, leader: &mut Leader, random: &mut Random, key: u64) {
        let mut step = step(1);
        let (cpu_milli, mem_mb) =
            (random.one_of(&[500, 1_000, 2_000, 5_000]), random.one_of(&[100, 400, 2_000]));
        step.needs = Resources { cpu_milli, mem_mb, gpus: 0 };
        step.image = Some(random.one_of(&["a", "b"]).to_owned());
        step.tail_target_ms = random.one_of(&[None, None, Some(100)]);
        step.is_filler = step.tail_target_ms.is_none() && random.below(3) == 0;
        let rack = format!("rack-w{}", random.below(WORKERS as u64));
        match random.below(8) {
            0 => step.required_label = Some(rack),
            1 => step.data_rack = Some(rack),
            _ => {}
        }
        let job = comfreymill_jobs::id::JobKey::new(key);
        let task = comfreymill_jobs::id::StepId { job, occurrence: 0, step: 0 }.task(0);
        self.steps.insert(task, step.clone());
        self.waiting.push(task);
        leader.submit_as(key, spec(vec![step]));
    }

    fn change_worker(&mut self, leader: &mut Leader, random: &mut Random) {
        let numbers: Vec<WorkerNumber> = self.workers.keys().copied().collect();
        let number = random.one_of(&numbers);
        let worker = self.workers.get_mut(&number).expect("a known worker");
        match random.below(6) {
            0 => {
                worker.is_silent = true;
                leader.leaves_poll_unanswered(number);
            }
            1 => {
                let mut announcement = leader.announcement(&worker.name, 10);
                announcement.capacity.cpu_milli = random.one_of(&[12_000, 16_000, 24_000]);
                announcement.capacity.mem_mb = random.one_of(&[6_000, 8_000]);
                worker.capacity = announcement.capacity;
                leader.announce(announcement);
            }
            2 => {
                worker.is_silent = false;
                leader.report(number, worker.report());
            }
            _ => {
                let Some((start, _)) = worker.runs.pop_first().map(|(_, run)| run) else { return };
                worker.is_silent = false;
                worker.ends += 1;
                let ends = ended(vec![start.end(worker.ends, EndKind::Done)]).ended;
                leader.report(number, Report { ended: ends, ..worker.report() });
            }
        }
    }
}

#[test]
fn every_choice_is_the_best_of_all_workers() {
    for seed in 1..=4 {
        let mut random = Random(seed);
        let (mut leader, mut model) = (Leader::new(), Model::default());
        for worker in 0..WORKERS {
            let name = format!("w{worker}");
            let number = leader.worker(&name);
            let capacity = Resources { cpu_milli: 16_000, mem_mb: 8_000, gpus: 0 };
            let (runs, ends) = (BTreeMap::new(), 0);
            let worker = Worker { name, capacity, is_silent: false, runs, ends };
            model.workers.insert(number, worker);
        }
        for operation in 0..OPERATIONS {
            if random.below(5) < 2 {
                model.submit(&mut leader, &mut random, u64::from(operation));
            } else {
                model.change_worker(&mut leader, &mut random);
            }
            model.check(&mut leader);
        }
        assert!(model.steps.len() > 250 && model.waiting.len() < model.steps.len() / 2);
    }
}
