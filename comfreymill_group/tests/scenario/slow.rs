//! A follower that is slow but loses nothing.

use crate::scenario::single::{self, step};
use bytes::Bytes;
use comfreymill_group::{message, replica};
use comfreymill_types::time;
use std::collections::VecDeque;

/// Time that the slow follower takes to respond, a multiple of the leader's retry time.
const RESPONSE_MILLIS: u64 = 1_500;
/// Time for which commands are proposed.
const RUN_MILLIS: u64 = 20_000;
const SLOW: u64 = 5;

fn accept(append: &message::Append) -> message::Body {
    let (prev_index, sent_at_micros) = (append.prev_index, append.sent_at_micros);
    let index = append.entries.last().map_or(prev_index, |entry| entry.index);
    let response = message::AppendResponse { prev_index, rejected: false, index, sent_at_micros };
    message::Body::AppendResponse(response)
}

/// A leader that sends entries again to a slow follower makes it slower still, until the follower
/// never catches up.
#[test]
fn a_slow_follower_is_sent_each_entry_about_once() {
    let mut leader = single::replica(1, 1, None);
    let start = 2_000;
    single::elect(&mut leader, time::Monotonic::from_millis(start));
    let term = leader.term().get();
    let mut delayed: VecDeque<(u64, message::Body)> = VecDeque::new();
    let mut sent_entries = 0;
    let mut proposed = 0;
    for millis in (start..start + RUN_MILLIS).step_by(10) {
        let now = time::Monotonic::from_millis(millis);
        if millis % 20 == 0 && leader.is_ready() {
            leader.propose(now, vec![Bytes::from_static(b"command")]).expect("leads");
            proposed += 1;
        }
        while delayed.front().is_some_and(|(due, _)| *due <= millis) {
            let (_, body) = delayed.pop_front().expect("just seen");
            step(&mut leader, now, SLOW, term, body);
        }
        leader.tick(now);
        for action in leader.take_actions() {
            match action {
                replica::Action::Persist(write) => leader.persisted(now, write.sequence),
                replica::Action::Send { to, message } => {
                    let body = match &message.body {
                        Some(message::Body::Append(append)) => {
                            let is_slow = to.get() == SLOW;
                            sent_entries += if is_slow { append.entries.len() } else { 0 };
                            accept(append)
                        }
                        Some(message::Body::Heartbeat(heartbeat)) => {
                            let sent_at_micros = heartbeat.sent_at_micros;
                            let response = message::HeartbeatResponse { sent_at_micros };
                            message::Body::HeartbeatResponse(response)
                        }
                        _ => continue,
                    };
                    if to.get() == SLOW {
                        delayed.push_back((millis + RESPONSE_MILLIS, body));
                    } else {
                        step(&mut leader, now, to.get(), term, body);
                    }
                }
                _ => {}
            }
        }
    }
    assert!(proposed > 900, "{proposed} commands were proposed");
    assert!(
        sent_entries < proposed * 3 / 2,
        "{sent_entries} entries were sent for {proposed} commands"
    );
}
