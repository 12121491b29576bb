//! Soak: schedulers are killed, frozen, replaced and lose their disks in series; then two disks are
//! lost or all processes are killed, right after routes were acknowledged.
//!
//! Never more than two schedulers are lost at the same time before the end. The seed decides on the
//! faults, together with the time that processes take, so series differ from run to run. Single seeds
//! run with the other tests; `COMFREYMILL_FINAL_FAULTS=1..20` runs those, and `COMFREYMILL_SOAK_KEEP`
//! keeps the logs.

mod final_fault;
mod fleet;
mod play;
mod seeding;

use std::env;

use self::final_fault::FinalFault;
use self::play::Play;
use self::seeding::Mode;
use super::load;

/// Number of faults before the final one.
const FAULTS: usize = 6;

#[test]
fn the_system_recovers_from_a_final_fault() {
    play_all(Mode::HandedOut, "12..12");
}

#[test]
fn two_disks_may_be_lost_after_schedulers_were_killed_and_frozen() {
    assert_none(&play(14, Mode::HandedOut));
}

/// Gateways answered 503 and two schedulers stayed outside the group although a leader had all state.
#[test]
fn the_system_recovers_although_its_seeds_are_gone() {
    play_all(Mode::Stale, "4..4");
}

/// The votes of the two that were gone counted with those of the disks, and no leader was elected again.
#[test]
fn two_disks_may_be_lost_after_two_schedulers_were_replaced() {
    let mut play = Play::start(2, Mode::HandedOut);
    play.fleet.catch_up();
    play.fleet.replace_leader_and_founder();
    assert_none(&play.end(FinalFault::Disks));
}

fn play_all(mode: Mode, default: &str) {
    let seeds = env::var("COMFREYMILL_FINAL_FAULTS").unwrap_or_else(|_| default.to_owned());
    let faults: Vec<String> = load::seeds(&seeds).flat_map(|seed| play(seed, mode)).collect();
    assert_none(&faults);
}

fn assert_none(faults: &[String]) {
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Plays one seed; returns what broke a rule.
fn play(seed: u64, mode: Mode) -> Vec<String> {
    let mut play = Play::start(seed, mode);
    play.fleet.disturb(FAULTS);
    play.end(FinalFault::of(seed))
}
