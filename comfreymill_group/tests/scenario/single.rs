//! One replica of a group of five; the test sends the messages of its peers.

use comfreymill_group::{entry, id, membership, message, replica};
use comfreymill_types::time;

fn members() -> membership::Membership {
    let kind = membership::MemberKind::Voter;
    let member = |number: u64| membership::Member { disk: id::DiskId::new(number * 10), kind };
    (1..=5).map(|number| (id::VoterId::new(number), member(number))).collect()
}

/// Creates a replica whose log has the membership at 1 and a no-op of `second_term`, if any, at 2.
pub(super) fn replica(number: u64, term: u64, second_term: Option<u64>) -> replica::Replica {
    let second = second_term.map(|term| (term, entry::Payload::Noop));
    let log = [(1, entry::Payload::Membership(members()))].into_iter().chain(second);
    replica_with(number, term, log.collect())
}

/// Creates a replica whose log consists of the terms and payloads of `log`.
pub(super) fn replica_with(
    number: u64,
    term: u64,
    log: Vec<(u64, entry::Payload)>,
) -> replica::Replica {
    let entries = log.into_iter().zip(1..).map(|((term, payload), index)| entry::Entry {
        index: id::Index::new(index),
        term: id::Term::new(term),
        payload,
    });
    let recovered = replica::Recovered {
        voter: id::VoterId::new(number),
        disk: id::DiskId::new(number * 10),
        hard_state: entry::HardState { term: id::Term::new(term), vote: None },
        snapshot: None,
        entries: entries.collect(),
    };
    let start = replica::Start::Join { peers: Vec::new() };
    let cfg = replica::Config::new(start).max_append_bytes(1);
    replica::Replica::new(cfg, recovered, number, time::Monotonic::ZERO)
}

/// Passes `body` from the voter `from`, with its disk in the membership, to `replica`.
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

/// Reports all writes returned so far as synced.
pub(super) fn sync(replica: &mut replica::Replica, now: time::Monotonic) {
    for action in replica.take_actions() {
        if let replica::Action::Persist(write) = action {
            replica.persisted(now, write.sequence);
        }
    }
}

/// Makes `replica` the leader of the next term, with the votes of voters 2 to 4.
pub(super) fn elect(replica: &mut replica::Replica, now: time::Monotonic) {
    replica.tick(now);
    let term = replica.term().get();
    for from in 2..=4 {
        let response = message::PreVoteResponse { asked_term: term + 1, granted: true, reason: 0 };
        step(replica, now, from, term, message::Body::PreVoteResponse(response));
    }
    sync(replica, now);
    for from in 2..=4 {
        let response = message::VoteResponse { granted: true, reason: 0 };
        step(replica, now, from, term + 1, message::Body::VoteResponse(response));
    }
    assert_eq!(replica.role(), replica::Role::Leader);
}
