use comfreymill_types::size;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Job, Kind, Site};

const GB: u64 = 1_000_000_000;
const WAVE_SECONDS: u64 = 180;
const CANCEL_SECONDS: u64 = 120;
const URGENT_SECONDS: u64 = 5;
const FAILING_WORKERS: usize = 3;

/// Events of one second.
#[derive(Clone, Debug, Default)]
pub(super) struct Step {
    pub(super) jobs: Vec<Job>,
    /// Number of recent jobs to cancel.
    pub(super) cancels: usize,
    pub(super) lost_workers: Vec<usize>,
}

/// Seeded sequence of events, the same for every policy.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) steps: Vec<Step>,
    pub(super) failing_workers: Vec<usize>,
}

impl Plan {
    pub(super) fn new(site: Site, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let failing_workers =
            (0..FAILING_WORKERS).map(|i| i * site.workers() / FAILING_WORKERS + 7).collect();
        let mut plan = Self { steps: Vec::new(), failing_workers };
        for second in 0..site.seconds() {
            let step = plan_second(site, second, &mut rng);
            plan.steps.push(step);
        }
        plan
    }
}

fn plan_second(site: Site, second: u64, rng: &mut ChaCha8Rng) -> Step {
    let mut step = Step::default();
    let mut remaining = arrivals(site, second);
    while remaining > 0 {
        let job = random_job(site, rng);
        remaining = remaining.saturating_sub(job.tasks);
        step.jobs.push(job);
    }
    if second % WAVE_SECONDS == 20 {
        for _ in 0..1 + site.backlog() / 400 {
            step.jobs.push(job_of_kind(site, Kind::Noisy, rng));
        }
    }
    if second.is_multiple_of(URGENT_SECONDS) {
        step.jobs.push(job_of_kind(site, Kind::Urgent, rng));
    }
    if second == 0 {
        step.jobs.extend((0..site.workers() / 5).map(|_| job_of_kind(site, Kind::Watch, rng)));
    }
    if second % CANCEL_SECONDS == 60 {
        step.cancels = 2 + site.workers() / 100;
    }
    let loss = 1.0 / site.seconds_per_loss();
    if rng.random_range(0.0..1.0) < loss {
        step.lost_workers.push(rng.random_range(0..site.workers()));
    }
    step
}

/// Returns the number of tasks submitted in a second: first a backlog, then about as many as end.
fn arrivals(site: Site, second: u64) -> u32 {
    if second == 0 {
        return site.backlog() as u32;
    }
    (site.backlog() as f64 / 110.0).round() as u32
}

fn random_job(site: Site, rng: &mut ChaCha8Rng) -> Job {
    let mut pick = rng.random_range(0..100);
    for kind in Kind::ALL {
        if pick < kind.share() {
            return job_of_kind(site, kind, rng);
        }
        pick -= kind.share();
    }
    job_of_kind(site, Kind::Quiet, rng)
}

fn job_of_kind(site: Site, kind: Kind, rng: &mut ChaCha8Rng) -> Job {
    let millis = [250, 500, 1_000, 2_000][rng.random_range(0..4)];
    let gigabytes = rng.random_range(1..=4);
    let usage_ratio = 10_f64.powf(rng.random_range(-0.523..=0.477));
    let has_one_task = matches!(kind, Kind::Urgent | Kind::Watch);
    let never_runs = !has_one_task && rng.random_range(0..20) == 0;
    let factor = if never_runs { 500 } else { 1 };
    let declared = size::Resources::new(millis * factor, gigabytes * GB, 0);
    let once = kind == Kind::Once;
    let takes_checkpoints = !once && rng.random_range(0..10) < 7;
    Job {
        kind,
        tasks: if has_one_task {
            1
        } else {
            rng.random_range(1..=1 + site.backlog() as u32 / 50).min(60)
        },
        declared,
        cores: millis as f64 / 1_000.0 * usage_ratio,
        seconds: match kind {
            Kind::Watch => f64::MAX,
            Kind::Urgent => 20.0,
            _ => rng.random_range(30.0..300.0),
        },
        checkpoint_every: takes_checkpoints.then_some(30.0),
        team: rng.random_range(0..4),
    }
}
