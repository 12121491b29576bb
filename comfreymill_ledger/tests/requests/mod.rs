use comfreymill_ledger::command::{Command, Reply};
use comfreymill_ledger::request::{Owner, RequestKey, RequestOutcome, RequestState, StoredAnswer};
use comfreymill_types::document;
use comfreymill_types::error::ErrorKind;
use comfreymill_types::id;

use crate::support::{Fixture, is_refused, name};

fn key(text: &str) -> RequestKey {
    RequestKey {
        environment: name("register"),
        stage: document::Stage::Production,
        team: None,
        key: name(text),
    }
}

fn owner(entry: &str) -> Owner {
    Owner { entry: name(entry), incarnation: id::Incarnation::new(1) }
}

fn open(entry: &str, asked: &str, unrepeatable: bool) -> Command {
    let digest = id::Digest::of(asked.as_bytes());
    Command::OpenRequest { key: key("k"), digest, owner: owner(entry), unrepeatable }
}

fn close(entry: &str, outcome: RequestOutcome) -> Command {
    Command::CloseRequest { key: key("k"), owner: owner(entry), outcome }
}

fn answer(bytes: usize) -> StoredAnswer {
    StoredAnswer { status: 200, headers: Vec::new(), body: Some(vec![7; bytes].into()) }
}

#[test]
fn only_one_entry_at_a_time_owns_a_key() {
    let mut fixture = Fixture::default();
    assert_eq!(fixture.apply(open("entry-1", "a", true)), Reply::Opened);
    // The owner sends the command again because it lost the reply.
    assert_eq!(fixture.apply(open("entry-1", "a", true)), Reply::Opened);
    let other = fixture.apply(open("entry-2", "a", true));
    assert_eq!(other, Reply::Known(RequestState::Open(owner("entry-1"))));
    let reused = fixture.apply(open("entry-2", "b", true));
    assert!(is_refused(&reused, ErrorKind::KeyReused), "{reused:?}");
}

#[test]
fn an_answer_is_given_to_every_resend() {
    let mut fixture = Fixture::default();
    fixture.apply(open("entry-1", "a", true));
    fixture.apply(close("entry-1", RequestOutcome::Answered(answer(3))));
    for entry in ["entry-1", "entry-2"] {
        let reply = fixture.apply(open(entry, "a", true));
        assert_eq!(reply, Reply::Known(RequestState::Answered(answer(3))));
    }
}

#[test]
fn only_a_repeatable_request_of_unknown_outcome_runs_again() {
    for (unrepeatable, again) in
        [(true, Reply::Known(RequestState::Unknown)), (false, Reply::Opened)]
    {
        let mut fixture = Fixture::default();
        fixture.apply(open("entry-1", "a", unrepeatable));
        fixture.apply(close("entry-1", RequestOutcome::Unknown));
        assert_eq!(fixture.apply(open("entry-2", "a", unrepeatable)), again);
        // A late report from the first owner changes nothing.
        let before = fixture.ledger.get_requests().get(&key("k")).cloned();
        fixture.apply(close("entry-1", RequestOutcome::NotRun));
        assert_eq!(fixture.ledger.get_requests().get(&key("k")).cloned(), before);
    }
}

#[test]
fn a_request_that_did_not_run_frees_its_key() {
    let mut fixture = Fixture::default();
    fixture.apply(open("entry-1", "a", true));
    fixture.apply(close("entry-1", RequestOutcome::NotRun));
    assert_eq!(fixture.apply(open("entry-2", "b", true)), Reply::Opened);
}

#[test]
fn a_large_body_is_dropped_but_the_request_stays_answered() {
    let mut fixture = Fixture::default();
    fixture.apply(open("entry-1", "a", true));
    fixture.apply(close("entry-1", RequestOutcome::Answered(answer(16 * 1024 + 1))));
    match fixture.apply(open("entry-2", "a", true)) {
        Reply::Known(RequestState::Answered(answer)) => assert_eq!(answer.body, None),
        reply => panic!("{reply:?}"),
    }
}

#[test]
fn answers_expire_after_a_day_and_unknown_outcomes_do_not() {
    const DAY_MS: u64 = 24 * 3_600 * 1_000;
    let mut fixture = Fixture::default();
    fixture.apply(open("entry-1", "a", true));
    fixture.apply(close("entry-1", RequestOutcome::Answered(answer(3))));
    fixture.now_ms = DAY_MS;
    assert!(matches!(fixture.apply(open("entry-2", "a", true)), Reply::Known(_)));
    fixture.now_ms = DAY_MS + 1;
    assert_eq!(fixture.apply(open("entry-2", "b", true)), Reply::Opened);
    fixture.apply(close("entry-2", RequestOutcome::Unknown));
    fixture.now_ms = 9 * DAY_MS;
    let reply = fixture.apply(open("entry-1", "b", true));
    assert_eq!(reply, Reply::Known(RequestState::Unknown));
}
