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

/// What happens at one second.
#[derive(Clone, Debug, Default)]
pub(super) struct Step {
    pub(super) jobs: Vec<Job>,
    /// Cancels the last so many jobs.
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
    let mut wanted = arrivals(site, second);
    while wanted > 0 {
        let job = any_job(site, rng);
        wanted = wanted.saturating_sub(job.tasks);
        step.jobs.push(job);
    }
    if second % WAVE_SECONDS == 20 {
        for _ in 0..1 + site.backlog() / 400 {
            step.jobs.push(job_of(site, Kind::Noisy, rng));
        }
    }
    if second.is_multiple_of(URGENT_SECONDS) {
        step.jobs.push(job_of(site, Kind::Urgent, rng));
    }
    if second == 0 {
        step.jobs.extend((0..site.workers() / 5).map(|_| job_of(site, Kind::Watch, rng)));
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

/// Tasks submitted in a second: a backlog at first, then about what ends.
fn arrivals(site: Site, second: u64) -> u32 {
    if second == 0 {
        return site.backlog() as u32;
    }
    (site.backlog() as f64 / 110.0).round() as u32
}

fn any_job(site: Site, rng: &mut ChaCha8Rng) -> Job {
    let mut pick = rng.random_range(0..100);
    for kind in Kind::ALL {
        if pick < kind.share() {
            return job_of(site, kind, rng);
        }
        pick -= kind.share();
    }
    job_of(site, Kind::Quiet, rng)
}

fn job_of(site: Site, kind: Kind, rng: &mut ChaCha8Rng) -> Job {
    let millis = [250, 500, 1_000, 2_000][rng.random_range(0..4)];
    let gigabytes = rng.random_range(1..=4);
    let off = 10_f64.powf(rng.random_range(-0.523..=0.477));
    let alone = matches!(kind, Kind::Urgent | Kind::Watch);
    let never_runs = !alone && rng.random_range(0..20) == 0;
    let factor = if never_runs { 500 } else { 1 };
    let declared = size::Resources::new(millis * factor, gigabytes * GB, 0);
    let once = kind == Kind::Once;
    let takes_checkpoints = !once && rng.random_range(0..10) < 7;
    Job {
        kind,
        tasks: if alone { 1 } else { rng.random_range(1..=1 + site.backlog() as u32 / 50).min(60) },
        declared,
        cores: millis as f64 / 1_000.0 * off,
        seconds: match kind {
            Kind::Watch => f64::MAX,
            Kind::Urgent => 20.0,
            _ => rng.random_range(30.0..300.0),
        },
        checkpoint_every: takes_checkpoints.then_some(30.0),
        team: rng.random_range(0..4),
    }
}
