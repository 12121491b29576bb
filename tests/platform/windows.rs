//! Windows of membership: how long the group lacks five live voters, or counts a dead vote, after each
//! kind of change.
//!
//! The test checks that each window ends and prints how long it was. One change runs with the other
//! tests; `COMFREYMILL_WINDOWS=5` runs all changes five times, `COMFREYMILL_WINDOWS_ONLY=text` those whose
//! names contain the text, and `COMFREYMILL_WINDOWS_LOAD=1` submits jobs and routes meanwhile. The
//! `COMFREYMILL_WINDOWS_LOGS=1` prints the logs of the longer ones. The
//! executors of a load run until the process ends, so each change under load needs a process of its own.

use std::env;
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::group_bed::GroupBed;
use super::steady_load::Load;

/// Number of voters that the group wants.
const VOTERS: usize = 5;
/// Time for which a machine is down that loses its disk.
const DARK: Duration = Duration::from_millis(1_500);
/// Time from the loss of a machine to the start of its successor at another address.
const SUCCESSION: Duration = Duration::from_millis(200);
/// Freeze that is longer than the silence after which a member may be replaced.
const FREEZE: Duration = Duration::from_millis(3_600);
/// Window above which the logs are printed on request.
const LOGGED: Duration = Duration::from_millis(1_500);
/// Change that runs with the other tests.
const DEFAULT: &str = "leader and a follower replaced";

type Change = fn(&mut GroupBed) -> Instant;

/// Changes, each of which returns when the last machine was back.
const CHANGES: [(&str, Change); 12] = [
    ("founding by three and two joiners", founded),
    ("disk of a follower lost", |bed| lose_disks(bed, false, 1, DARK)),
    ("disk of the leader lost", |bed| lose_disks(bed, true, 1, DARK)),
    ("disks of leader and a follower lost", |bed| lose_disks(bed, true, 2, DARK)),
    ("disks of two lost, back at once", |bed| lose_disks(bed, true, 2, Duration::ZERO)),
    ("a follower replaced", |bed| replace(bed, false, 1)),
    ("leader replaced", |bed| replace(bed, true, 1)),
    ("two followers replaced", |bed| replace(bed, false, 2)),
    (DEFAULT, |bed| replace(bed, true, 2)),
    ("follower frozen beside a newcomer", |bed| freeze(bed, false)),
    ("leader frozen beside a newcomer", |bed| freeze(bed, true)),
    ("two of seven killed", kill_with_spares),
];

#[test]
fn the_group_has_five_live_voters_again_after_each_change() {
    let rounds = env::var("COMFREYMILL_WINDOWS").ok();
    let rounds: Option<usize> = rounds.map(|rounds| rounds.parse().expect("a number of rounds"));
    let only = env::var("COMFREYMILL_WINDOWS_ONLY").unwrap_or_default();
    let has_load = env::var_os("COMFREYMILL_WINDOWS_LOAD").is_some();
    for _ in 0..rounds.unwrap_or(1) {
        for (name, change) in CHANGES {
            let is_chosen = if rounds.is_some() { name.contains(&only) } else { name == DEFAULT };
            if is_chosen {
                measure(name, change, has_load);
            }
        }
    }
}

fn measure(name: &str, change: Change, has_load: bool) {
    let mut bed = GroupBed::empty(VOTERS, "");
    let mut load = None;
    if name != CHANGES[0].0 {
        founded(&mut bed);
        bed.wait("five voters", || is_whole(&bed));
        load = has_load.then(|| Load::start(&mut bed));
    }
    let entries = load.as_ref().map_or(0.0, |load| load.warm_up(&bed));
    let back_at = change(&mut bed);
    bed.wait("five live voters", || is_whole(&bed));
    let window = back_at.elapsed();
    let changes = bed.logs().matches("a membership change is proposed").count();
    eprintln!(
        "window: {name}: {:.2} s ({entries:.0} entries/s, {changes} changes)",
        window.as_secs_f64()
    );
    if window > LOGGED && env::var_os("COMFREYMILL_WINDOWS_LOGS").is_some() {
        eprintln!("{}", bed.logs());
    }
    drop(load);
}

/// Returns whether the leader counts five voters and each of them is a running process.
fn is_whole(bed: &GroupBed) -> bool {
    bed.leader().is_some_and(|leader| {
        bed.count_voters(leader) == VOTERS && bed.count_running_voters() == VOTERS
    })
}

fn add(bed: &mut GroupBed) {
    bed.add();
}

fn founded(bed: &mut GroupBed) -> Instant {
    (0..VOTERS).for_each(|_| add(bed));
    Instant::now()
}

/// Returns `count` members, of which the leader is the first or none.
fn victims(bed: &GroupBed, with_leader: bool, count: usize) -> Vec<usize> {
    let leader = bed.wait_for_leader();
    let followers = (0..VOTERS).map(|step| (leader + step) % VOTERS);
    followers.skip(usize::from(!with_leader)).take(count).collect()
}

fn lose_disks(bed: &mut GroupBed, with_leader: bool, count: usize, dark: Duration) -> Instant {
    let victims = victims(bed, with_leader, count);
    victims.iter().for_each(|member| bed.wipe(*member));
    thread::sleep(dark);
    victims.iter().for_each(|member| bed.run_later(*member));
    Instant::now()
}

fn replace(bed: &mut GroupBed, with_leader: bool, count: usize) -> Instant {
    let victims = victims(bed, with_leader, count);
    victims.iter().for_each(|member| bed.kill(*member));
    thread::sleep(SUCCESSION);
    victims.iter().for_each(|_| add(bed));
    Instant::now()
}

/// Freezes a member until the newcomer may have taken its place.
fn freeze(bed: &mut GroupBed, with_leader: bool) -> Instant {
    let frozen = victims(bed, with_leader, 1)[0];
    let newcomer = bed.add();
    bed.wait("a sixth member", || bed.members(bed.wait_for_leader()).contains(&newcomer));
    bed.signal(frozen, Signal::SIGSTOP);
    thread::sleep(FREEZE);
    bed.signal(frozen, Signal::SIGCONT);
    Instant::now()
}

/// Kills two members beside two that are learners already.
fn kill_with_spares(bed: &mut GroupBed) -> Instant {
    for _ in 0..2 {
        let spare = bed.add();
        bed.wait("a member more", || bed.members(bed.wait_for_leader()).contains(&spare));
    }
    let victims = victims(bed, true, 2);
    victims.iter().for_each(|member| bed.kill(*member));
    Instant::now()
}
