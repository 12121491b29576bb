use crate::scenario::group;
use bytes::Bytes;
use comfreymill_group::{entry, message, replica};
use quickcheck::{Gen, QuickCheck, TestResult};

fn any_bytes_decode_or_fail(bytes: Vec<u8>) -> TestResult {
    let decoded = message::Message::from_bytes(Bytes::from(bytes));
    let Ok(decoded) = decoded else { return TestResult::discard() };
    let again = message::Message::from_bytes(decoded.to_bytes());
    TestResult::from_bool(again.is_ok_and(|again| again == decoded))
}

#[test]
fn decoded_messages_encode_to_the_same() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 5))
        .tests(100)
        .max_tests(1_000_000)
        .quickcheck(any_bytes_decode_or_fail as fn(Vec<u8>) -> TestResult);
}

#[test]
fn a_message_over_the_limit_is_refused() {
    let bytes = Bytes::from(vec![0; message::MAX_MESSAGE_BYTES + 1]);
    let error = message::Message::from_bytes(bytes).expect_err("too long");
    assert!(matches!(error, message::DecodeError::TooLong { .. }), "{error}");
}

#[test]
fn entries_out_of_order_are_ignored() {
    let (mut world, leader) = group::started(1, 3);
    let follower = (leader + 1) % 3;
    let from = world.nodes[leader].voter;
    let term = group::replica(&world, leader).term().get();
    let last = group::replica(&world, follower).last_index().get();
    let last_term =
        group::replica(&world, follower).term_at(group::replica(&world, follower).last_index());
    let record = |index: u64, term: u64| entry::EntryRecord { index, term, payload: None };
    let cases = [
        vec![record(last + 2, term)],
        vec![record(last + 1, term), record(last + 3, term)],
        vec![record(last + 1, term), record(last + 2, term - 1)],
        vec![record(last + 1, term + 1)],
    ];
    for entries in cases {
        let append = message::Append {
            prev_index: last,
            prev_term: last_term.expect("known").get(),
            commit: last + 5,
            sent_at_micros: 0,
            entries,
        };
        let body = Some(message::Body::Append(append));
        let message = message::Message { term, disk: 1, to_disk: 0, body };
        let clock = world.nodes[follower].clock(world.now);
        let replica = world.nodes[follower].replica.as_mut().expect("running");
        replica.step(clock, from, message);
        let actions = replica.take_actions();
        let is_answered =
            actions.iter().any(|action| matches!(action, replica::Action::Send { .. }));
        assert!(!is_answered, "{actions:?}");
        assert_eq!(replica.last_index().get(), last);
    }
}

#[test]
fn an_entry_that_conflicts_with_a_committed_one_halts_the_replica() {
    let (mut world, leader) = group::started(2, 3);
    group::commit(&mut world, leader);
    group::pass(&mut world, 500);
    let follower = (leader + 1) % 3;
    let from = world.nodes[leader].voter;
    let clock = world.nodes[follower].clock(world.now);
    let replica = world.nodes[follower].replica.as_mut().expect("running");
    let index = replica.commit_index();
    let term = replica.term().next();
    let entries = vec![entry::EntryRecord { index: index.get(), term: term.get(), payload: None }];
    let append = message::Append {
        prev_index: index.previous().get(),
        prev_term: replica.term_at(index.previous()).expect("known").get(),
        commit: 0,
        sent_at_micros: 0,
        entries,
    };
    let body = Some(message::Body::Append(append));
    let message = message::Message { term: term.get(), disk: 1, to_disk: 0, body };
    replica.step(clock, from, message);
    assert_eq!(replica.halted(), Some(replica::Halt::CommittedConflict { index, term }));
    let halts = replica
        .take_actions()
        .into_iter()
        .filter(|action| matches!(action, replica::Action::Halt(_)));
    assert_eq!(halts.count(), 1);
}

#[test]
fn a_snapshot_of_committed_entries_changes_nothing() {
    let (mut world, leader) = group::started(3, 3);
    for _ in 0..5 {
        group::commit(&mut world, leader);
    }
    group::pass(&mut world, 500);
    let follower = (leader + 1) % 3;
    let from = world.nodes[leader].voter;
    let clock = world.nodes[follower].clock(world.now);
    let replica = world.nodes[follower].replica.as_mut().expect("running");
    let before = (replica.commit_index(), replica.last_index(), replica.snapshot_index());
    let index = replica.commit_index().previous();
    let chunk = message::SnapshotChunk {
        index: index.get(),
        index_term: replica.term_at(index).expect("known").get(),
        membership: Some(replica.membership().into()),
        ..message::SnapshotChunk::default()
    };
    let body = Some(message::Body::SnapshotChunk(chunk));
    let message = message::Message { term: replica.term().get(), disk: 1, to_disk: 0, body };
    replica.step(clock, from, message);
    assert_eq!((replica.commit_index(), replica.last_index(), replica.snapshot_index()), before);
}
