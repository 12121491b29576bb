//! Gateways and schedulers whose seeds know nobody of the group.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use super::group_bed::GroupBed;
use super::standin;

/// Time for which the machines are down in the last fault.
const DARK: Duration = Duration::from_millis(1_200);
/// Number of voters.
const VOTERS: usize = 5;

/// A leader served with a quorum, and nobody found it: of three seeds one was gone and two came back
/// with empty data folders.
#[test]
fn a_leader_finds_newcomers_and_gateways_whose_seeds_know_no_member() {
    let mut bed = GroupBed::start(VOTERS);
    for _ in 3..VOTERS {
        add_voter(&mut bed);
    }
    let gateways = [bed.add_gateway(), bed.add_gateway()];
    replace(&mut bed, 0);
    replace(&mut bed, 4);
    let leader = bed.wait_for_leader();
    bed.wait("the routes", || standin::put_routes(bed.control(leader), 1, "jobs"));
    wait_until_served(&bed, &gateways);

    let (wiped, kept) = ([1, 2], [3, 5, 6]);
    wiped.into_iter().for_each(|member| bed.wipe(member));
    kept.into_iter().for_each(|member| bed.kill(member));
    (0..gateways.len()).for_each(|gateway| bed.kill_gateway(gateway));
    thread::sleep(DARK);
    wiped.into_iter().chain(kept).for_each(|member| bed.run_later(member));
    (0..gateways.len()).for_each(|gateway| bed.run_gateway(gateway));

    wait_until_served(&bed, &gateways);
    let leader = bed.wait_for_leader();
    bed.wait("five voters", || bed.voters(leader) == [1, 2, 3, 5, 6]);
    bed.wait("the newcomers to vote", || wiped.into_iter().all(|member| bed.votes(member)));
}

fn add_voter(bed: &mut GroupBed) {
    let leader = bed.wait_for_leader();
    let member = bed.add();
    bed.wait("another voter", || bed.voters(leader).contains(&member));
}

/// Replaces a scheduler for good by one at another address.
fn replace(bed: &mut GroupBed, member: usize) {
    bed.wipe(member);
    add_voter(bed);
}

/// Removes the three seeds for good, one after the other, from a group of three voters.
fn remove_seeds(bed: &mut GroupBed) {
    for seed in 0..3 {
        bed.wipe(seed);
        bed.wait("the removal", || {
            let leader = bed.wait_for_leader();
            !bed.members(leader).contains(&seed) && bed.voters(leader).len() == 3
        });
    }
}

fn wait_until_served(bed: &GroupBed, gateways: &[SocketAddr]) {
    bed.wait("all gateways to serve", || {
        let mut callers = gateways.iter().map(|gateway| standin::Caller::new(*gateway));
        callers.all(|caller| caller.count_waiting("/jobs/") == Some(200))
    });
}

/// Schedulers whose machines were removed while they were down came back with empty data folders, and
/// all their seeds had been removed as well.
#[test]
fn the_next_leader_finds_newcomers_at_the_addresses_of_former_members() {
    let mut bed = GroupBed::start(3);
    let successors: Vec<usize> = (0..3).map(|_| bed.add()).collect();
    let leader = bed.wait_for_leader();
    bed.wait("three learners", || bed.members(leader).len() == 6);
    remove_seeds(&mut bed);
    let leader = bed.wait_for_leader();
    assert!(successors.contains(&leader), "\n{}", bed.logs());
    bed.kill(leader);
    bed.wait_for_leader();

    bed.run_later(1);
    bed.run_later(2);
    bed.wait("the newcomers to be members", || {
        let members = bed.members(bed.wait_for_leader());
        members.contains(&1) && members.contains(&2)
    });
}

/// All seeds of a gateway were gone before it reached one of them, and it never read the seeds that its
/// settings named later.
#[test]
fn a_gateway_uses_the_seeds_that_its_settings_name_later() {
    let mut bed = GroupBed::start(3);
    let successors: Vec<usize> = (0..3).map(|_| bed.add()).collect();
    let leader = bed.wait_for_leader();
    bed.wait("three learners", || bed.members(leader).len() == 6);
    bed.wait("the routes", || standin::put_routes(bed.control(leader), 1, "jobs"));
    remove_seeds(&mut bed);
    let gateway = bed.add_gateway();
    thread::sleep(Duration::from_secs(2));
    bed.change_gateway_seeds(0, &successors);
    wait_until_served(&bed, &[gateway]);
}
