use std::time::Duration;

use comfreymill_jobs::scheduler::RemoteFactor;

use super::world::{Random, World};

#[derive(Debug)]
struct Figures {
    mean_ms: u128,
    tail_ms: u128,
    in_time: usize,
    jobs: usize,
}

/// Plays a burst of jobs that want one rack, beside jobs that run anywhere; the rack has room for
/// `8 * size` tasks at once.
fn play(size: u64, percent: u32, seed: u64, load_percent: u64, is_enabled: bool) -> Figures {
    let mut world = World::new(5, size, RemoteFactor::from_percent(percent), is_enabled);
    let mut random = Random::new(seed);
    let mut key = 0;
    let mut hot = 0;
    for tick in 0..700 {
        // Tasks of 0.8 s on average keep 8 * size places busy when 10 * size of them come a second.
        let (near_per_tick, any_per_tick) = match tick {
            100..400 => (size * load_percent / 100, size),
            _ => (size * 2 / 10, size),
        };
        hot += near_per_tick;
        while hot >= 100 {
            hot -= 100;
            key += 1;
            let actual = Duration::from_millis(500 + random.below(600));
            world.submit(key, 10, actual, Some("r0"));
        }
        if random.below(100) < any_per_tick {
            key += 1;
            let actual = Duration::from_millis(500 + random.below(600));
            world.submit(key, 10, actual, None);
        }
        world.tick();
    }
    world.run(400);
    let mut spans: Vec<u128> = world.completed.iter().map(|(span, _)| span.as_millis()).collect();
    spans.sort_unstable();
    assert_eq!(spans.len() as u64, key, "all jobs are completed");
    Figures {
        mean_ms: spans.iter().sum::<u128>() / spans.len() as u128,
        tail_ms: spans[spans.len() * 95 / 100],
        in_time: world.completed.iter().filter(|(_, is_in_time)| *is_in_time).count(),
        jobs: spans.len(),
    }
}

/// Before, tasks went elsewhere whenever their rack was full.
#[test]
fn more_jobs_are_in_time_with_waits_on_racks_of_all_sizes() {
    let mut gained = 0;
    let mut jobs = 0;
    for (size, loads) in [(8, [90, 120, 200]), (12, [200, 90, 120]), (20, [120, 200, 90])] {
        for (percent, load_percent) in [150, 200, 300].into_iter().zip(loads) {
            let old = play(size, percent, load_percent, load_percent, false);
            let new = play(size, percent, load_percent, load_percent, true);
            let case = format!("{size} workers, factor {percent} %, load {load_percent} %");
            // Durations vary, so single jobs may lose.
            assert!(new.in_time * 100 >= old.in_time * 99, "{case}: {old:?}, {new:?}");
            assert!(new.mean_ms * 100 <= old.mean_ms * 101, "{case}: {old:?}, {new:?}");
            assert!(new.tail_ms * 100 <= old.tail_ms * 103, "{case}: {old:?}, {new:?}");
            gained += new.in_time as i64 - old.in_time as i64;
            jobs += new.jobs as i64;
        }
    }
    assert!(gained * 25 >= jobs, "{gained} of {jobs} jobs gained");
}
