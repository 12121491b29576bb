use crate::scenario::single::replica;
use comfreymill_group::{id, message, replica};
use comfreymill_types::time;
use std::collections::{BTreeMap, VecDeque};

pub(super) type Replicas = BTreeMap<u64, replica::Replica>;

/// Delivers messages until none is left; those for which `passes` returns `false` are lost.
pub(super) fn deliver<F>(replicas: &mut Replicas, now: time::Monotonic, passes: F)
where
    F: Fn(u64, u64, &message::Message) -> bool,
{
    let mut in_flight = VecDeque::new();
    loop {
        for (number, replica) in replicas.iter_mut() {
            let mut actions = VecDeque::from(replica.take_actions());
            while let Some(action) = actions.pop_front() {
                match action {
                    replica::Action::Persist(write) => {
                        replica.persisted(now, write.sequence);
                        actions.extend(replica.take_actions());
                    }
                    replica::Action::Send { to, message }
                        if passes(*number, to.get(), &message) =>
                    {
                        in_flight.push_back((*number, to.get(), message));
                    }
                    _ => {}
                }
            }
        }
        let Some((from, to, message)) = in_flight.pop_front() else { return };
        if let Some(replica) = replicas.get_mut(&to) {
            replica.step(now, id::VoterId::new(from), message);
        }
    }
}

fn holds_third_entry(message: &message::Message) -> bool {
    match &message.body {
        Some(message::Body::Append(append)) => append.entries.iter().any(|entry| entry.index == 3),
        _ => false,
    }
}

/// Guards against the loss of a committed entry: an entry of an older term that a majority holds
/// may still be overwritten by a leader whose last entry is of a later term. It may be committed
/// only together with an entry of the leader's own term.
#[test]
fn an_entry_of_an_older_term_is_not_committed_by_counting_replicas() {
    let logs = [(1, 2, Some(2)), (2, 2, Some(2)), (3, 2, None), (4, 3, None), (5, 3, Some(3))];
    let mut replicas: Replicas = logs
        .into_iter()
        .map(|(number, term, second)| (number, replica(number, term, second)))
        .collect();
    let now = time::Monotonic::from_millis(700);
    replicas.get_mut(&1).expect("present").tick(now);
    deliver(&mut replicas, now, |from, to, message| {
        from != 5 && to != 5 && from != 4 && to != 4 && !holds_third_entry(message)
    });
    let leader = &replicas[&1];
    assert_eq!(leader.role(), replica::Role::Leader);
    let status = leader.status(now);
    let matched = status.peers.iter().filter(|peer| peer.matched == id::Index::new(2)).count();
    assert_eq!(matched, 2, "a majority holds entry 2: {status:?}");
    assert!(leader.commit_index() < id::Index::new(2), "entry 2 is committed by counting replicas");
    let later = time::Monotonic::from_millis(950);
    replicas.get_mut(&1).expect("present").tick(later);
    deliver(&mut replicas, later, |from, to, _| from < 4 && to < 4);
    assert_eq!(replicas[&1].commit_index(), id::Index::new(3));
}
