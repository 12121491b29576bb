//! Packing of long-running tasks: recorded shape of a fleet full of them that a burst of short jobs
//! meets, with the old decision beside the new one.

use std::time::Duration;

use comfreymill_jobs::scheduler::{Config, PackingConfig, StartAnswer};
use comfreymill_jobs::worker::{Report, Resources};
use comfreymill_jobs::{id, job};

use crate::support::{LEASE, Leader, Start, spec, step};

const IMAGES: [&str; 10] =
    ["ledger", "watch", "index", "mail", "relay", "map", "feed", "cache", "audit", "vote"];
const WORKERS: u8 = 160;
/// Processor needs of a usual short task and of a large one, in thousandths of a core.
const SHORT_CPU_MILLI: [u32; 2] = [2_700, 6_000];

/// Linear congruential generator.
struct Random(u64);

impl Random {
    /// Returns a value from `low` to below `high`, in steps of 50.
    fn draw(&mut self, low: u32, high: u32) -> u32 {
        let factor = 6_364_136_223_846_793_005;
        self.0 = self.0.wrapping_mul(factor).wrapping_add(1_442_695_040_888_963_407);
        let steps = u64::from((high - low) / 50);
        low + 50 * u32::try_from((self.0 >> 33) % steps).expect("below 2^32")
    }
}

/// What a fleet did with a burst.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    lasting: usize,
    images_per_worker: usize,
    short: usize,
}

fn serving(random: &mut Random) -> job::StepSpec {
    let mut serving = step(14);
    let cpu_milli = random.draw(2_000, 4_900);
    serving.needs = Resources { cpu_milli, mem_mb: 500, gpus: 0 };
    serving.is_long_running = true;
    serving.tail_target_ms = Some(150);
    serving.image = Some(IMAGES[random.draw(0, 500) as usize / 50].to_owned());
    serving.max_per_worker = (random.draw(0, 100) == 0).then_some(1);
    serving
}

fn take_started(leader: &mut Leader) -> Vec<Start> {
    let starts = leader.take_starts();
    for start in &starts {
        leader.started(start, StartAnswer::Started);
    }
    starts
}

/// Fills the workers with `jobs` jobs of long-running tasks, and sends a job with more short tasks
/// than there is room for.
fn play(seed: u64, jobs: u64, short_cpu_milli: u32, packing: Option<PackingConfig>) -> Outcome {
    play_with(seed, jobs, short_cpu_milli, packing, Duration::from_millis(50))
}

fn play_with(
    seed: u64,
    jobs: u64,
    short_cpu_milli: u32,
    packing: Option<PackingConfig>,
    pause: Duration,
) -> Outcome {
    let mut random = Random(seed);
    let mut leader = Leader::with_config(Config::new(LEASE).packing(packing));
    for number in 0..WORKERS {
        // Addresses are derived from the sums of the letters of names.
        let letter = char::from(b'!' + number % 90);
        let name = if number < 90 { letter.to_string() } else { format!("z{letter}") };
        leader.worker_of_size(&name, 16_000 + 8_000 * u32::from(number % 3 == 2));
    }
    leader.advance(Duration::from_millis(50));
    let mut outcome = Outcome::default();
    let mut images = std::collections::BTreeSet::new();
    for job in 0..jobs {
        let serving = serving(&mut random);
        let image = serving.image.clone();
        leader.submit_as(job, spec(vec![serving]));
        leader.advance(pause);
        let starts = take_started(&mut leader);
        outcome.lasting += starts.len();
        images.extend(starts.iter().map(|start| (start.worker, image.clone())));
    }
    outcome.images_per_worker = images.len() * 100 / usize::from(WORKERS);
    let mut short = step(1_000);
    short.needs = Resources { cpu_milli: short_cpu_milli, mem_mb: 500, gpus: 0 };
    leader.submit_as(1_000, spec(vec![short]));
    outcome.short = take_started(&mut leader).len();
    outcome
}

#[test]
fn a_burst_of_short_jobs_finds_more_room_beside_packed_long_running_tasks() {
    for cpu_milli in SHORT_CPU_MILLI {
        let (mut old, mut new, mut images) = (0, 0, [0, 0]);
        for seed in 1..=5 {
            let before = play(seed, 56, cpu_milli, None);
            let after = play(seed, 56, cpu_milli, Some(PackingConfig::new(70, 300)));
            assert!(after.lasting >= before.lasting, "seed {seed}: {before:?}, {after:?}");
            old += before.short;
            new += after.short;
            images[0] += before.images_per_worker;
            images[1] += after.images_per_worker;
        }
        assert!(new * 100 >= old * 108, "tasks of {cpu_milli}: {old} before, {new} now");
        assert!(images[1] * 100 <= images[0] * 115, "images on a worker: {images:?}");
    }
}

#[test]
fn tasks_that_come_at_the_same_moment_are_packed() {
    let packing = Some(PackingConfig::new(70, 300));
    for seed in 1..=2 {
        let slow = play(seed, 56, 2_700, packing);
        let at_once = play_with(seed, 56, 2_700, packing, Duration::ZERO);
        assert_eq!((at_once.lasting, at_once.short), (slow.lasting, slow.short), "seed {seed}");
    }
}

#[test]
fn long_running_tasks_stay_with_their_image_while_a_pool_has_room() {
    let packing = Some(PackingConfig::new(70, 300));
    for seed in 1..=3 {
        assert_eq!(play(seed, 24, 2_700, None), play(seed, 24, 2_700, packing), "seed {seed}");
    }
}

#[test]
fn workers_that_may_not_be_used_do_not_count() {
    let packing = Some(PackingConfig::new(70, 300));
    let mut leader = Leader::with_config(Config::new(LEASE).packing(packing));
    let (used, silent) = (leader.worker("v"), leader.worker("w"));
    leader.leaves_poll_unanswered(silent);
    let mut serving = serving(&mut Random(1));
    (serving.count, serving.max_per_worker) = (4, None);
    serving.needs.cpu_milli = 3_000;
    leader.submit_as(1, spec(vec![serving.clone()]));
    let starts = take_started(&mut leader);
    assert!(starts.iter().all(|start| start.worker == used), "{starts:?}");
    // Three quarters of the usable room are reserved, so a task of another image fills the worker.
    leader.report(silent, Report::default());
    leader.advance(Duration::from_millis(50));
    serving.image = Some("other".to_owned());
    serving.needs.cpu_milli = 3_900;
    serving.count = 1;
    leader.submit_as(2, spec(vec![serving.clone()]));
    let of_first: Vec<id::WorkerNumber> =
        take_started(&mut leader).iter().map(|start| start.worker).collect();
    // Both workers are usable again: 12 of 32 cores are reserved, so nothing is packed.
    assert_eq!(of_first, [silent]);
}
