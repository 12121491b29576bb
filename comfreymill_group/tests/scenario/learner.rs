use crate::scenario::older_term::{Replicas, deliver};
use crate::scenario::single;
use comfreymill_group::{entry, id, membership, replica};
use comfreymill_types::time;

/// Guards against a group that never elects a leader again. Voter 2 is lost for good. Voter 1 has
/// written the promotion of 4, so it needs the vote of 4, which denies it: 4 holds a newer entry of
/// 2, and is still a learner in its own log. Voter 3 can't win because 1 holds more entries.
#[test]
fn a_learner_with_the_newest_entry_leads_until_a_voter_can() {
    let voter = |number: u64| {
        let (disk, kind) = (id::DiskId::new(number * 10), membership::MemberKind::Voter);
        (id::VoterId::new(number), membership::Member { disk, kind })
    };
    let voters: membership::Membership = (1..=3).map(voter).collect();
    let members = voters.with_learner(id::VoterId::new(4), id::DiskId::new(40));
    let promoted = members.with_promoted(id::VoterId::new(4));
    let first = (1, entry::Payload::Membership(members));
    let promotion = (2, entry::Payload::Membership(promoted));
    let newer = (3, entry::Payload::Noop);
    let mut replicas = Replicas::new();
    replicas.insert(1, single::replica_with(1, 4, vec![first.clone(), promotion]));
    replicas.insert(3, single::replica_with(3, 4, vec![first.clone()]));
    replicas.insert(4, single::replica_with(4, 4, vec![first, newer]));
    let mut was_leader = false;
    for millis in (0..10_000).step_by(10) {
        let now = time::Monotonic::from_millis(millis);
        for replica in replicas.values_mut() {
            replica.tick(now);
        }
        deliver(&mut replicas, now, |_, _, _| true);
        was_leader |= replicas[&4].role() == replica::Role::Leader;
    }
    assert!(was_leader, "the learner never became leader");
    let leads = |replica: &&replica::Replica| replica.role() == replica::Role::Leader;
    let leader = replicas.values().find(leads).expect("a leader");
    assert!(leader.is_ready() && leader.voter() != id::VoterId::new(4), "no voter became leader");
    assert!(leader.commit_index() > id::Index::new(2));
}
