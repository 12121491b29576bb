//! What a replica says of the votes that it refuses and asks for.

use crate::scenario::{log_lines, single};
use comfreymill_group::{id, message, replica};
use comfreymill_types::time;
use prost::Message as _;

const TERM: u64 = 5;

fn at(millis: u64) -> time::Monotonic {
    time::Monotonic::from_millis(millis)
}

/// Returns a voter whose log ends at entry 2 of term 4.
fn voter() -> replica::Replica {
    log_lines::capture();
    single::replica(1, TERM, Some(4))
}

fn pre_vote(last_index: u64) -> message::Body {
    message::Body::PreVote(message::PreVote { last_index, last_term: 4 })
}

fn vote(last_index: u64) -> message::Body {
    message::Body::Vote(message::Vote { last_index, last_term: 4, transfer: false })
}

/// Returns the reasons in the responses that `replica` sends, once all its writes are synced.
fn reasons(replica: &mut replica::Replica, now: time::Monotonic) -> Vec<replica::Refusal> {
    let mut actions = replica.take_actions();
    for write in actions.clone() {
        if let replica::Action::Persist(write) = write {
            replica.persisted(now, write.sequence);
            actions.extend(replica.take_actions());
        }
    }
    let codes = actions.iter().filter_map(|action| {
        let replica::Action::Send { message, .. } = action else { return None };
        match &message.body {
            Some(message::Body::PreVoteResponse(response)) => Some(response.reason),
            Some(message::Body::VoteResponse(response)) => Some(response.reason),
            _ => None,
        }
    });
    codes.map(replica::Refusal::from_code).collect()
}

/// Checks that one line was logged, with the reason first, and returns it.
fn only_refusal(reason: replica::Refusal, stage: &str) -> String {
    let mut lines = log_lines::take("a vote is refused");
    assert_eq!(lines.len(), 1, "{reason}: {lines:?}");
    let line = lines.remove(0);
    let begin = format!("INFO a vote is refused; reason={reason}; term=");
    assert!(line.starts_with(&begin), "{line}");
    assert!(line.contains(&format!("; stage={stage}; ")), "{line}");
    line
}

#[test]
fn a_pre_vote_is_refused_with_its_reason() {
    use replica::Refusal;

    let cases = [
        (Refusal::RecentLeader, 100, TERM, 2),
        (Refusal::OlderLog, 700, TERM, 1),
        (Refusal::OlderTerm, 700, TERM - 1, 2),
    ];
    for (reason, millis, term, last_index) in cases {
        let mut replica = voter();
        single::step(&mut replica, at(millis), 3, term, pre_vote(last_index));
        assert_eq!(reasons(&mut replica, at(millis)), [reason]);
        let line = only_refusal(reason, "pre-vote");
        assert!(line.ends_with("; candidate=3"), "{line}");
    }
}

#[test]
fn a_pre_vote_is_refused_for_an_election_in_progress_and_for_a_write() {
    let mut replica = voter();
    replica.tick(at(700));
    let granted = |_| message::PreVoteResponse { asked_term: TERM + 1, granted: true, reason: 0 };
    for from in 2..=3 {
        let response = message::Body::PreVoteResponse(granted(from));
        single::step(&mut replica, at(700), from, TERM, response);
    }
    assert_eq!(replica.term(), id::Term::new(TERM + 1), "it starts an election");
    let actions = replica.take_actions();
    single::step(&mut replica, at(710), 4, TERM + 1, pre_vote(2));
    only_refusal(replica::Refusal::WriteNotSynced, "pre-vote");
    for action in actions {
        if let replica::Action::Persist(write) = action {
            replica.persisted(at(720), write.sequence);
        }
    }
    single::step(&mut replica, at(730), 4, TERM + 1, pre_vote(2));
    only_refusal(replica::Refusal::ElectionInProgress, "pre-vote");
}

#[test]
fn a_vote_is_refused_with_its_reason() {
    use replica::Refusal;

    let mut replica = voter();
    single::step(&mut replica, at(100), 2, TERM + 1, vote(2));
    assert_eq!(reasons(&mut replica, at(100)), []);
    only_refusal(Refusal::RecentLeader, "vote");

    single::step(&mut replica, at(700), 2, TERM - 1, vote(2));
    assert_eq!(reasons(&mut replica, at(700)), [Refusal::OlderTerm]);
    only_refusal(Refusal::OlderTerm, "vote");

    single::step(&mut replica, at(700), 2, TERM + 1, vote(1));
    assert_eq!(reasons(&mut replica, at(700)), [Refusal::OlderLog]);
    only_refusal(Refusal::OlderLog, "vote");

    single::step(&mut replica, at(700), 3, TERM + 1, vote(2));
    assert_eq!(reasons(&mut replica, at(700)), [Refusal::Unknown], "the vote is granted");
    single::step(&mut replica, at(700), 4, TERM + 1, vote(2));
    assert_eq!(reasons(&mut replica, at(700)), [Refusal::VotedForAnother]);
    only_refusal(Refusal::VotedForAnother, "vote");
}

#[test]
fn a_request_to_the_former_disk_is_refused_without_an_answer() {
    let mut replica = voter();
    let message = message::Message { term: TERM, disk: 20, to_disk: 11, body: Some(pre_vote(2)) };
    replica.step(at(700), id::VoterId::new(2), message);
    assert_eq!(reasons(&mut replica, at(700)), []);
    only_refusal(replica::Refusal::OtherDisk, "pre-vote");
}

#[test]
fn refusals_are_logged_every_five_seconds_for_each_reason() {
    let mut replica = voter();
    for millis in (0..=5_000).step_by(250) {
        single::step(&mut replica, at(700 + millis), 2, TERM, pre_vote(1));
    }
    let lines = log_lines::take("a vote is refused");
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(lines[0].contains("; suppressed=0; "), "{lines:?}");
    assert!(lines[1].contains("; suppressed=19; "), "{lines:?}");
    single::step(&mut replica, at(5_710), 2, TERM - 1, pre_vote(2));
    only_refusal(replica::Refusal::OlderTerm, "pre-vote");
}

#[test]
fn an_election_is_logged_with_who_granted_refused_or_did_not_answer() {
    let mut replica = voter();
    replica.tick(at(700));
    let reason = replica::Refusal::WriteNotSynced.code();
    let answers = [(2, true, 0), (3, false, reason), (4, false, 99)];
    for (from, granted, reason) in answers {
        let response = message::PreVoteResponse { asked_term: TERM + 1, granted, reason };
        single::step(&mut replica, at(710), from, TERM, message::Body::PreVoteResponse(response));
    }
    for millis in (720..5_000).step_by(20) {
        replica.tick(at(millis));
    }
    let lines = log_lines::take("an election has ended");
    let expected = "INFO an election has ended; term=6; outcome=no majority; granted=1; silent=1; \
        refused=1 unknown, 1 own write not synced; stage=pre-vote; quorum=3; own_vote=true; suppressed=0; \
        refused_by=own write not synced: 3, unknown: 4; silent_voters=5; granted_by=2";
    assert_eq!(lines, [expected]);
    for millis in (5_000..8_000).step_by(20) {
        replica.tick(at(millis));
    }
    let lines = log_lines::take("an election has ended");
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(!lines[0].contains("suppressed=0"), "{lines:?}");
}

#[test]
fn a_won_election_is_logged() {
    let mut replica = voter();
    single::elect(&mut replica, at(700));
    replica.tick(at(720));
    let lines = log_lines::take("an election has ended");
    assert_eq!(lines.len(), 1, "{lines:?}");
    let begin = "INFO an election has ended; term=6; outcome=won; granted=3; silent=1; ";
    assert!(lines[0].starts_with(begin), "{lines:?}");
}

/// Response to a vote as earlier builds know it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
struct EarlierVoteResponse {
    #[prost(bool, tag = "1")]
    granted: bool,
}

/// Response to a pre-vote as earlier builds know it.
#[derive(Clone, Copy, PartialEq, prost::Message)]
struct EarlierPreVoteResponse {
    #[prost(uint64, tag = "1")]
    asked_term: u64,
    #[prost(bool, tag = "2")]
    granted: bool,
}

#[test]
fn earlier_builds_and_this_one_read_each_others_responses() {
    let reason = replica::Refusal::OlderLog.code();
    for granted in [false, true] {
        let vote = message::VoteResponse { granted, reason };
        let read = EarlierVoteResponse::decode(&vote.encode_to_vec()[..]).expect("readable");
        assert_eq!(read, EarlierVoteResponse { granted });
        let earlier = EarlierVoteResponse { granted }.encode_to_vec();
        let read = message::VoteResponse::decode(&earlier[..]).expect("readable");
        assert_eq!(read, message::VoteResponse { granted, reason: 0 });

        let vote = message::PreVoteResponse { asked_term: 7, granted, reason };
        let read = EarlierPreVoteResponse::decode(&vote.encode_to_vec()[..]).expect("readable");
        assert_eq!(read, EarlierPreVoteResponse { asked_term: 7, granted });
        let earlier = EarlierPreVoteResponse { asked_term: 7, granted }.encode_to_vec();
        let read = message::PreVoteResponse::decode(&earlier[..]).expect("readable");
        assert_eq!(read, message::PreVoteResponse { asked_term: 7, granted, reason: 0 });
    }
    assert_eq!(replica::Refusal::from_code(0), replica::Refusal::Unknown);
}
