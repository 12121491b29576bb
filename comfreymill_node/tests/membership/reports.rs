//! What the leader says of the members.

use std::net::Ipv4Addr;
use std::time::Duration;

use comfreymill_group::id;
use comfreymill_group::membership;
use comfreymill_node::scheduler;

use super::bed::{Bed, VOTERS};

/// Time of a sync on a disk that hangs.
const HANG: Duration = Duration::from_secs(30);

fn member(address: [u8; 4], incarnation: u32) -> id::VoterId {
    let address = u64::from(u32::from(Ipv4Addr::from(address)));
    id::VoterId::new(address << 32 | u64::from(incarnation))
}

#[test]
fn members_are_named_by_kind_address_and_incarnation() {
    use membership::MemberKind::{Learner, Voter};

    let members = [
        (member([10, 1, 0, 202], 0x51b0_3f2a), Voter),
        (member([10, 1, 0, 211], 0), Voter),
        (member([10, 1, 0, 211], 0x0007_00b1), Learner),
        (member([10, 3, 0, 134], 9), Learner),
    ];
    let members: membership::Membership = members
        .into_iter()
        .map(|(voter, kind)| (voter, membership::Member { disk: id::DiskId::new(1), kind }))
        .collect();
    let roster = scheduler::Roster::new(&members);
    assert_eq!(roster.voters, "10.1.0.202/3f2a 10.1.0.211/0");
    assert_eq!(roster.learners, "10.1.0.211/00b1 10.3.0.134/0009");
    assert_eq!(scheduler::Roster::new(&membership::Membership::default()).voters, "");
}

#[test]
fn a_learner_is_described_by_what_it_lacks_with_its_name_last() {
    let mut learner = scheduler::LearnerState {
        behind: 120,
        member_for: Duration::from_millis(3_200),
        is_receiving_snapshot: true,
        silent_for: Some(Duration::from_millis(40)),
        member: member([10, 1, 0, 202], 0x3f2a),
    };
    let text = "120 behind, 3200 ms member, snapshot, 40 ms silent, 10.1.0.202/3f2a";
    assert_eq!(learner.to_string(), text);
    (learner.is_receiving_snapshot, learner.silent_for) = (false, None);
    let text = "120 behind, 3200 ms member, never heard, 10.1.0.202/3f2a";
    assert_eq!(learner.to_string(), text);
}

/// The report named neither the learner nor what it lacked. A machine at a new address stays a learner
/// while its disk hangs, since the silent voter may come back.
#[test]
fn a_learner_without_a_vote_is_reported_while_voters_are_missing() {
    let mut bed = Bed::start(3);
    // The newest voter answers its first heartbeat.
    bed.pass(Duration::from_millis(100));
    let report = bed.report().expect("a leader");
    assert!(!report.is_short() && report.learners.is_empty(), "{report:?}");
    assert_eq!((report.voters, report.answering), (VOTERS, VOTERS));

    bed.commands = 3;
    let lost = (bed.leader().expect("a leader") + 1) % VOTERS;
    bed.kill(lost);
    let added = bed.add();
    bed.set_sync(added, HANG);
    bed.wait("the addition of the learner", |bed| {
        bed.membership().is_some_and(|members| members.len() == VOTERS + 1)
    });
    bed.pass(Duration::from_secs(3));
    let report = bed.report().expect("a leader");
    assert!(report.is_short(), "{report:?}");
    assert_eq!((report.voters, report.answering), (VOTERS, VOTERS - 1));
    assert!(report.silent.len() == 1 && report.newcomers.is_empty(), "{report:?}");
    let [learner] = report.learners[..] else { panic!("not one learner: {report:?}") };
    assert!(learner.behind > 100, "{report:?}");
    assert!(learner.member_for >= Duration::from_secs(3), "{report:?}");
    assert!(learner.silent_for.is_some_and(|silent| silent < Duration::from_secs(1)), "{report:?}");
    assert!(report.learners_text().starts_with(&format!("{} behind, ", learner.behind)));
}
