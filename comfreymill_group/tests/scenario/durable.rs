use crate::scenario::older_term;
use comfreymill_group::{entry, id, message, replica};
use comfreymill_types::time;

pub(super) fn step(
    replica: &mut replica::Replica,
    now: time::Monotonic,
    from: u64,
    term: u64,
    body: message::Body,
) {
    let (disk, to_disk) = (from * 10, replica.disk().get());
    let message = message::Message { term, disk, to_disk, body: Some(body) };
    replica.step(now, id::VoterId::new(from), message);
}

/// Syncs all writes handed out so far.
pub(super) fn sync(replica: &mut replica::Replica, now: time::Monotonic) {
    for action in replica.take_actions() {
        if let replica::Action::Persist(write) = action {
            replica.persisted(now, write.sequence);
        }
    }
}

fn append(term: u64, count: u64) -> message::Body {
    let record = |index| entry::EntryRecord { index, term, payload: None };
    let entries = (2..2 + count).map(record).collect();
    let (prev_index, prev_term) = (1, 1);
    let append = message::Append { prev_index, prev_term, commit: 0, sent_at_micros: 0, entries };
    message::Body::Append(append)
}

fn accept(index: u64, now: time::Monotonic) -> message::Body {
    let sent_at_micros = now.as_micros();
    let answer = message::AppendResponse { prev_index: 1, rejected: false, index, sent_at_micros };
    message::Body::AppendResponse(answer)
}

/// A leader's own new entries count only after their sync, also where longer overwritten entries
/// were synced at the same indexes.
#[test]
fn overwritten_entries_leave_nothing_synced_behind() {
    let mut replica = older_term::replica(1, 1, None);
    let start = time::Monotonic::from_millis(10);
    step(&mut replica, start, 2, 2, append(2, 5));
    sync(&mut replica, start);
    step(&mut replica, start, 3, 3, append(3, 1));
    sync(&mut replica, start);
    assert_eq!(replica.last_index(), id::Index::new(2));
    let now = time::Monotonic::from_millis(900);
    replica.tick(now);
    for from in 2..=4 {
        let answer = message::PreVoteResponse { asked_term: 4, granted: true };
        step(&mut replica, now, from, 3, message::Body::PreVoteResponse(answer));
    }
    sync(&mut replica, now);
    for from in 2..=4 {
        let answer = message::VoteResponse { granted: true };
        step(&mut replica, now, from, 4, message::Body::VoteResponse(answer));
    }
    assert_eq!(replica.role(), replica::Role::Leader);
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
