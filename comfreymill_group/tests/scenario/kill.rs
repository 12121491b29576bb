use crate::scenario::group;

/// Kills the leader `kills` times, and returns the sorted times in milliseconds from each kill to
/// the next applied command.
fn kill_leaders(seed: u64, voters: u64, kills: usize) -> Vec<u64> {
    let (mut world, mut leader) = group::started(seed, voters);
    let mut gaps = Vec::new();
    for _ in 0..kills {
        group::commit(&mut world, leader);
        let start = world.now;
        world.crash(leader);
        let next = group::wait_for_leader(&mut world);
        group::commit(&mut world, next);
        gaps.push((world.now - start) / 1_000);
        world.start(leader);
        group::pass(&mut world, 1_000);
        leader = group::wait_for_leader(&mut world);
    }
    gaps.sort_unstable();
    gaps
}

#[test]
fn a_killed_leader_is_replaced_within_two_seconds() {
    for voters in [3, 5] {
        let gaps = kill_leaders(voters, voters, 60);
        let (median, worst) = (gaps[gaps.len() / 2], gaps[gaps.len() - 1]);
        assert!(median <= 1_000 && worst <= 2_000, "{voters} voters: {gaps:?} ms");
    }
}

#[test]
fn all_replicas_killed_at_once_lose_nothing() {
    for seed in 0..10 {
        let (mut world, mut leader) = group::started(seed, 3);
        for _ in 0..5 {
            let numbers: Vec<_> = (0..5).map(|_| group::commit(&mut world, leader)).collect();
            for position in 0..3 {
                world.crash(position);
            }
            for position in 0..3 {
                world.start(position);
            }
            leader = group::wait_for_leader(&mut world);
            let last = group::replica(&world, leader).last_index();
            let applied = world.nodes[leader].machine.index;
            assert_eq!(applied, last.min(applied));
            assert!(numbers.iter().all(|number| world.checker.is_applied(*number)));
            assert_eq!(applied, group::replica(&world, leader).commit_index());
        }
    }
}
