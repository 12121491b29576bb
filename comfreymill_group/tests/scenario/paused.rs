//! A leader whose process is suspended, or whose store is slow.

use crate::scenario::single::{self, step};
use bytes::Bytes;
use comfreymill_group::{id, message, replica};
use comfreymill_types::time;
use std::collections::VecDeque;
use std::time::Duration;

const START_MILLIS: u64 = 2_000;

/// Returns the response of a follower to a message, if it has one.
fn respond(message: &message::Message) -> Option<message::Body> {
    match &message.body {
        Some(message::Body::Append(append)) => {
            let (prev_index, sent_at_micros) = (append.prev_index, append.sent_at_micros);
            let index = append.entries.last().map_or(prev_index, |entry| entry.index);
            let response =
                message::AppendResponse { prev_index, rejected: false, index, sent_at_micros };
            Some(message::Body::AppendResponse(response))
        }
        Some(message::Body::Heartbeat(heartbeat)) => {
            let sent_at_micros = heartbeat.sent_at_micros;
            Some(message::Body::HeartbeatResponse(message::HeartbeatResponse { sent_at_micros }))
        }
        _ => None,
    }
}

/// Carries out the actions; followers respond at once. Returns the writes.
fn exchange(leader: &mut replica::Replica, now: time::Monotonic) -> Vec<id::Sequence> {
    let term = leader.term().get();
    let mut writes = Vec::new();
    loop {
        let actions = leader.take_actions();
        if actions.is_empty() {
            return writes;
        }
        for action in actions {
            match action {
                replica::Action::Persist(write) => writes.push(write.sequence),
                replica::Action::Send { to, message } => {
                    if let Some(body) = respond(&message) {
                        step(leader, now, to.get(), term, body);
                    }
                }
                _ => {}
            }
        }
    }
}

#[test]
fn a_leader_that_was_suspended_has_no_lease_by_answers_to_earlier_messages() {
    let mut leader = single::replica(1, 1, None);
    let start = time::Monotonic::from_millis(START_MILLIS);
    single::elect(&mut leader, start);
    let term = leader.term().get();
    let sent_at = start + Duration::from_millis(100);
    leader.tick(sent_at);
    let answers: Vec<(u64, message::Body)> = leader
        .take_actions()
        .iter()
        .filter_map(|action| match action {
            replica::Action::Send { to, message } => Some((to.get(), respond(message)?)),
            _ => None,
        })
        .collect();
    assert!(!answers.is_empty());
    let after_pause = sent_at + Duration::from_secs(3);
    for (from, body) in answers {
        step(&mut leader, after_pause, from, term, body);
    }
    assert!(leader.lease_valid(sent_at + Duration::from_millis(1)), "the answers count");
    assert!(!leader.lease_valid(after_pause), "but not for the time of the pause");
    leader.tick(after_pause);
    assert_ne!(leader.role(), replica::Role::Leader);
}

#[test]
fn a_leader_with_a_slow_store_keeps_its_lead_and_commits() {
    const SYNC_MILLIS: u64 = 400;
    let mut leader = single::replica(1, 1, None);
    single::elect(&mut leader, time::Monotonic::from_millis(START_MILLIS));
    let term = leader.term();
    let mut unsynced: VecDeque<(u64, id::Sequence)> = VecDeque::new();
    for millis in (START_MILLIS..START_MILLIS + 10_000).step_by(20) {
        let now = time::Monotonic::from_millis(millis);
        if leader.is_ready() {
            leader.propose(now, vec![Bytes::from_static(b"command")]).expect("leads");
        }
        while unsynced.front().is_some_and(|(due, _)| *due <= millis) {
            let (_, sequence) = unsynced.pop_front().expect("just seen");
            leader.persisted(now, sequence);
        }
        leader.tick(now);
        let writes = exchange(&mut leader, now);
        unsynced.extend(writes.into_iter().map(|sequence| (millis + SYNC_MILLIS, sequence)));
        assert_eq!((leader.role(), leader.term()), (replica::Role::Leader, term));
        let is_late = millis > START_MILLIS + 500;
        assert!(!is_late || leader.lease_valid(now), "the lease depends on the store");
    }
    let committed = leader.commit_index().get();
    assert!(committed > 400, "{committed} entries were committed");
}
