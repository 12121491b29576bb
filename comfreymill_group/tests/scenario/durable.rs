use crate::scenario::single::{self, step, sync};
use comfreymill_group::{entry, id, message, replica};
use comfreymill_types::time;

fn append(term: u64, count: u64) -> message::Body {
    let record = |index| entry::EntryRecord { index, term, payload: None };
    let entries = (2..2 + count).map(record).collect();
    let (prev_index, prev_term) = (1, 1);
    let append = message::Append { prev_index, prev_term, commit: 0, sent_at_micros: 0, entries };
    message::Body::Append(append)
}

fn accept(index: u64, now: time::Monotonic) -> message::Body {
    let sent_at_micros = now.as_micros();
    let response =
        message::AppendResponse { prev_index: 1, rejected: false, index, sent_at_micros };
    message::Body::AppendResponse(response)
}

/// A leader's own new entries count towards a commit only after their sync, even if overwritten
/// entries were synced at the same indexes.
#[test]
fn overwritten_entries_do_not_count_as_synced() {
    let mut replica = single::replica(1, 1, None);
    let start = time::Monotonic::from_millis(10);
    step(&mut replica, start, 2, 2, append(2, 5));
    sync(&mut replica, start);
    step(&mut replica, start, 3, 3, append(3, 1));
    sync(&mut replica, start);
    assert_eq!(replica.last_index(), id::Index::new(2));
    let now = time::Monotonic::from_millis(900);
    single::elect(&mut replica, now);
    let noop = replica.last_index();
    let writes = replica.take_actions();
    for from in 2..=3 {
        step(&mut replica, now, from, 4, accept(noop.get(), now));
    }
    assert!(replica.commit_index() < noop, "an entry that is not synced here counts");
    for action in writes {
        if let replica::Action::Persist(write) = action {
            replica.persisted(now, write.sequence);
        }
    }
    assert_eq!(replica.commit_index(), noop);
}

/// A newcomer that votes from the start may have answered heartbeats, and was killed before anything was
/// synced; its vote within the lease of the leader led to two valid leases.
#[test]
fn a_joiner_gives_no_vote_while_a_lease_that_it_may_have_supported_is_valid() {
    for (millis, is_granted) in [(100, false), (400, true)] {
        let mut joiner = single::replica_with(1, 0, Vec::new());
        let now = time::Monotonic::from_millis(millis);
        let request = message::Vote { last_index: 5, last_term: 3, transfer: false };
        step(&mut joiner, now, 2, 4, message::Body::Vote(request));
        sync(&mut joiner, now);
        let granted = joiner.take_actions().into_iter().any(|action| {
            let replica::Action::Send { message, .. } = action else { return false };
            let granted = message::VoteResponse { granted: true, reason: 0 };
            message.body == Some(message::Body::VoteResponse(granted))
        });
        assert_eq!(granted, is_granted, "after {millis} ms");
    }
}

/// An operator empties the folder of a first voter, removes it and adds it again; its settings still name it
/// as a first voter. It answers heartbeats as a voter before anything is synced, and is killed. The wait
/// before the first vote must not depend on how the replica was started.
#[test]
fn a_first_voter_with_an_empty_folder_waits_before_its_first_vote_as_well() {
    let voters = (1..=5).map(id::VoterId::new).collect();
    let cfg = replica::Config::new(replica::Start::Found { voters });
    let (voter, disk) = (id::VoterId::new(3), id::DiskId::new(33));
    let recovered = replica::Recovered { voter, disk, ..replica::Recovered::default() };
    let mut restarted = replica::Replica::new(cfg, recovered, 1, time::Monotonic::ZERO);
    let now = time::Monotonic::from_millis(100);
    let request = message::Vote { last_index: 5, last_term: 3, transfer: false };
    step(&mut restarted, now, 2, 4, message::Body::Vote(request));
    sync(&mut restarted, now);
    let granted = restarted.take_actions().into_iter().any(|action| {
        let replica::Action::Send { message, .. } = action else { return false };
        message.body
            == Some(message::Body::VoteResponse(message::VoteResponse { granted: true, reason: 0 }))
    });
    assert!(!granted, "a vote within the lease of a leader that it may have answered");
}
