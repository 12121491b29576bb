//! Tests of how a caller of the group finds its leader, and of how long it waits for one.

mod next_leader;
mod odd_frames;

use std::net::Ipv4Addr;
use std::time::Duration;

use comfreymill_node::jobcall::{Directory, Members, Patience};

const FIRST: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const THIRD: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 3);

fn view(leader: Option<Ipv4Addr>) -> Members {
    Members { leader, all: vec![FIRST, SECOND, THIRD] }
}

#[test]
fn a_member_leads_only_by_its_own_word() {
    let mut directory = Directory::default();
    assert!(!directory.heard(SECOND, view(Some(FIRST))));
    assert_eq!(directory.leader(), None, "the member named may not serve yet");
    assert!(directory.heard(FIRST, view(Some(FIRST))));
    assert_eq!(directory.leader(), Some(FIRST));
}

#[test]
fn the_next_leader_is_used_while_the_last_one_is_silent() {
    let mut directory = Directory::default();
    directory.heard(FIRST, view(Some(FIRST)));
    directory.heard(SECOND, view(Some(FIRST)));
    // The first leader is frozen: its connection stays open and it has not taken back its claim.
    assert!(directory.heard(SECOND, view(Some(SECOND))));
    assert_eq!(directory.leader(), Some(SECOND));
    // It repeats nothing when it goes on, and then finds that it has lost the lead.
    assert!(!directory.heard(FIRST, view(Some(SECOND))));
    assert_eq!(directory.leader(), Some(SECOND));
    assert!(directory.lost(SECOND));
    assert_eq!(directory.leader(), None);
}

#[test]
fn a_repeated_claim_is_not_a_newer_one() {
    let mut directory = Directory::default();
    directory.heard(FIRST, view(Some(FIRST)));
    directory.heard(SECOND, view(Some(SECOND)));
    assert!(!directory.heard(FIRST, Members { leader: Some(FIRST), all: vec![FIRST, SECOND] }));
    assert_eq!(directory.leader(), Some(SECOND));
}

#[test]
fn seeds_members_and_named_leaders_are_connected() {
    let mut directory = Directory::default();
    assert_eq!(directory.addresses(&[FIRST]), [FIRST]);
    directory.heard(FIRST, Members { leader: Some(THIRD), all: vec![FIRST, SECOND] });
    assert_eq!(directory.addresses(&[FIRST]), [FIRST, SECOND, THIRD]);
}

#[test]
fn callers_wait_for_a_leader_only_if_it_can_come_in_time() {
    let millis = Duration::from_millis;
    let short = Patience::decide(Duration::ZERO, millis(300), 0.0);
    assert!(matches!(short, Patience::GiveUp { .. }), "{short:?}");
    assert_eq!(Patience::decide(Duration::ZERO, millis(2_500), 0.0), Patience::Wait(millis(2_500)));
    assert_eq!(Patience::decide(millis(1_100), millis(300), 0.0), Patience::Wait(millis(300)));
    let long = Patience::decide(millis(3_000), millis(2_500), 0.0);
    assert!(matches!(long, Patience::GiveUp { .. }), "{long:?}");
}

#[test]
fn refused_callers_return_after_the_election_and_spread() {
    let retry_after = |spread| match Patience::decide(Duration::ZERO, Duration::ZERO, spread) {
        Patience::GiveUp { retry_after } => retry_after,
        Patience::Wait(_) => Duration::ZERO,
    };
    assert!(retry_after(0.0) >= Duration::from_secs(1));
    assert!(retry_after(1.0) - retry_after(0.0) >= Duration::from_secs(1));
    assert!(retry_after(1.0) <= Duration::from_secs(5));
}

#[test]
fn the_newest_contacts_are_kept() {
    let mut directory = Directory::default();
    let contact = |number| Ipv4Addr::new(10, 0, 1, number);
    (0..20).for_each(|number| directory.add_contact(contact(number)));
    // A contact that is heard again counts as new.
    directory.add_contact(contact(4));
    directory.add_contact(contact(20));
    let kept: Vec<Ipv4Addr> = [4].into_iter().chain(6..=20).map(contact).collect();
    assert_eq!(directory.addresses(&[]), kept);
}

/// The list of a member that was cut off took the place of the leader's, and newer members were left.
#[test]
fn the_list_of_a_member_that_is_behind_does_not_replace_the_leaders() {
    let mut directory = Directory::default();
    directory.heard(FIRST, Members { leader: Some(FIRST), all: vec![FIRST, THIRD] });
    directory.heard(SECOND, Members { leader: None, all: vec![FIRST, SECOND] });
    assert_eq!(directory.members().all, [FIRST, THIRD]);
    directory.lost(FIRST);
    directory.heard(SECOND, Members { leader: None, all: vec![FIRST, SECOND] });
    assert_eq!(directory.members().all, [FIRST, SECOND]);
}

/// The list of a former leader that claimed to lead once more stayed in force after it had given up its
/// claim, and members that the leader had named were left.
#[test]
fn the_list_of_a_former_leader_does_not_outlive_its_claim() {
    let mut directory = Directory::default();
    directory.heard(FIRST, Members { leader: Some(FIRST), all: vec![FIRST, THIRD] });
    directory.heard(SECOND, Members { leader: Some(SECOND), all: vec![FIRST, SECOND] });
    directory.heard(SECOND, Members { leader: None, all: vec![FIRST, SECOND] });
    assert_eq!(directory.leader(), Some(FIRST));
    assert_eq!(directory.members().all, [FIRST, THIRD]);
}

/// What a follower had said while the leader was connected was forgotten once the leader was lost,
/// although followers say it only once.
#[test]
fn a_newer_list_of_a_follower_counts_once_the_leader_is_lost() {
    let mut directory = Directory::default();
    directory.heard(FIRST, Members { leader: Some(FIRST), all: vec![FIRST, SECOND] });
    directory.heard(SECOND, Members { leader: Some(FIRST), all: vec![FIRST, SECOND, THIRD] });
    directory.lost(FIRST);
    assert!(directory.addresses(&[]).contains(&THIRD));
}
