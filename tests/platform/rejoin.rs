//! Schedulers that the group removes and that rejoin it within their processes.

use std::fs;
use std::time::{Duration, Instant};

use comfreymill_node::jobcall::{Call, Reply};
use nix::sys::signal::Signal;

use super::group_bed::GroupBed;
use super::session::{Received, Session};

/// Longest time for an answer on a machine that is busy.
const LIMIT: Duration = Duration::from_secs(30);
/// Number of attempts to have one scheduler lead.
const MAX_TRANSFERS: usize = 5;

/// A call over a connection from before the removal was never answered, and nobody was told that
/// the scheduler led later: no gateway knew a leader.
#[test]
fn connections_outlive_the_removal_of_their_scheduler() {
    let mut bed = GroupBed::start(3);
    let leader = bed.wait_for_leader();
    let (removed, other) = ((leader + 1) % 3, (leader + 2) % 3);
    let session = Session::connect(bed.address(removed), GroupBed::PEERS_PORT, GroupBed::KEY);
    remove_and_rejoin(&mut bed, removed, leader);
    expect_answer(&session);

    // The one that has rejoined becomes a voter in the place of another one.
    bed.kill(other);
    bed.wait("the scheduler to be a voter again", || bed.voters(leader).contains(&removed));
    bed.run(other);
    for _ in 0..MAX_TRANSFERS {
        let leader = bed.wait_for_leader();
        if leader == removed {
            break;
        }
        bed.hand_over(leader, removed);
    }
    assert_eq!(bed.wait_for_leader(), removed, "\n{}", bed.logs());
    let began = Instant::now();
    let address = bed.address(removed);
    let mut is_told = false;
    while !is_told && began.elapsed() < LIMIT {
        let received = session.next(LIMIT);
        is_told =
            matches!(received, Some(Received::Members(members)) if members.leader == Some(address));
    }
    assert!(is_told, "nobody was told who leads\n{}", bed.logs());
    expect_answer(&session);
}

/// The second removal within one process took the connections of the first rejoin away.
#[test]
fn connections_outlive_a_second_removal() {
    let mut bed = GroupBed::start(3);
    let leader = bed.wait_for_leader();
    let removed = (leader + 1) % 3;
    let session = Session::connect(bed.address(removed), GroupBed::PEERS_PORT, GroupBed::KEY);
    remove_and_rejoin(&mut bed, removed, leader);
    expect_answer(&session);
    // It is a learner now, which is removed after the same silence.
    bed.signal(removed, Signal::SIGSTOP);
    bed.wait("the learner to be removed", || !bed.members(leader).contains(&removed));
    bed.signal(removed, Signal::SIGCONT);
    bed.wait("the second rejoin", || bed.count_rejoins(removed) == 2);
    expect_answer(&session);
}

/// Power was lost while a removed scheduler emptied its data folder, and it never started again: of
/// files that are removed without a sync of their folder, each may be kept or lost.
#[test]
fn a_rejoin_that_was_interrupted_goes_on_at_the_next_start() {
    let mut bed = GroupBed::start(3);
    let leader = bed.wait_for_leader();
    let interrupted = (leader + 1) % 3;
    let data = bed.folder().join(format!("data-{interrupted}"));
    bed.kill(interrupted);
    fs::write(data.join("retired"), "").expect("the folder is there");
    fs::remove_file(data.join("identity")).expect("the folder has an identity");
    bed.run_later(interrupted);
    bed.wait("the scheduler to know the group", || bed.voters(interrupted).contains(&leader));
}

/// The removal of a scheduler's files failed at a folder among them, with some files deleted, and the
/// scheduler never started again.
#[test]
fn a_foreign_folder_does_not_keep_a_removed_scheduler_from_rejoining() {
    let mut bed = GroupBed::start(3);
    let leader = bed.wait_for_leader();
    let removed = (leader + 1) % 3;
    let foreign = bed.folder().join(format!("data-{removed}")).join("lost+found");
    fs::create_dir(&foreign).expect("the scheduler has a data folder");
    remove_and_rejoin(&mut bed, removed, leader);
    assert!(foreign.exists(), "a foreign folder was removed");
}

/// Freezes a voter until a newcomer has taken its place, and waits until it has rejoined.
fn remove_and_rejoin(bed: &mut GroupBed, removed: usize, leader: usize) {
    bed.signal(removed, Signal::SIGSTOP);
    let newcomer = bed.add();
    bed.wait("the newcomer to be a voter", || bed.voters(leader).contains(&newcomer));
    bed.signal(removed, Signal::SIGCONT);
    bed.wait("the rejoin", || bed.count_rejoins(removed) == 1);
    bed.wait("the scheduler to be a member", || bed.members(leader).contains(&removed));
}

fn expect_answer(session: &Session) {
    session.send(Call::GetRoutes);
    loop {
        match session.next(LIMIT) {
            Some(Received::Members(_)) => {}
            Some(Received::Reply(reply)) => {
                assert!(matches!(reply, Reply::NotLeader | Reply::NoRoutes), "{reply:?}");
                return;
            }
            None => panic!("the call was not answered"),
        }
    }
}
