use comfreymill_ledger::command::{Command, Reply};
use comfreymill_types::error::ErrorKind;
use comfreymill_types::id;

use crate::support::{Fixture, is_refused, name};

fn submit(operation: &str, version: u64, replaces: u64, text: &str) -> Command {
    Command::SubmitDocument {
        operation: name(operation),
        environment: name("register"),
        version: id::Version::new(version),
        replaces: id::Version::new(replaces),
        text: text.to_owned(),
    }
}

fn promote(operation: &str, text: &str) -> Command {
    let digest = id::Digest::of(text.as_bytes());
    Command::PromoteDocument { operation: name(operation), environment: name("register"), digest }
}

fn version_of(reply: &Reply) -> u64 {
    match reply {
        Reply::Document { version, .. } => version.get(),
        reply => panic!("{reply:?}"),
    }
}

#[test]
fn versions_only_increase() {
    let mut fixture = Fixture::default();
    assert_eq!(version_of(&fixture.apply(submit("a", 1, 0, "one"))), 1);
    let cases = [(1, 0), (1, 1), (2, 0), (2, 2), (0, 1)];
    for (i, (version, replaces)) in cases.into_iter().enumerate() {
        let reply = fixture.apply(submit(&format!("b{i}"), version, replaces, "other"));
        assert!(is_refused(&reply, ErrorKind::Conflict), "{version} {replaces}: {reply:?}");
    }
    assert_eq!(version_of(&fixture.apply(submit("c", 5, 1, "five"))), 5);
}

#[test]
fn a_resend_gets_its_first_reply() {
    let mut fixture = Fixture::default();
    let first = fixture.apply(submit("a", 1, 0, "one"));
    let refused = fixture.apply(submit("b", 1, 0, "uno"));
    fixture.apply(submit("c", 2, 1, "two"));
    assert_eq!(fixture.apply(submit("a", 1, 0, "one")), first);
    assert_eq!(fixture.apply(submit("b", 1, 0, "uno")), refused);
    let reused = fixture.apply(submit("a", 3, 2, "three"));
    assert!(is_refused(&reused, ErrorKind::KeyReused), "{reused:?}");
    let state = &fixture.ledger.get_environments()[&name("register")];
    assert_eq!(state.trial.as_ref().expect("a trial").version, id::Version::new(2));
}

#[test]
fn production_takes_only_what_is_in_trial() {
    let mut fixture = Fixture::default();
    fixture.apply(submit("a", 1, 0, "one"));
    let unknown = fixture.apply(promote("p1", "two"));
    assert!(is_refused(&unknown, ErrorKind::Conflict), "{unknown:?}");
    assert_eq!(version_of(&fixture.apply(promote("p2", "one"))), 1);
    fixture.apply(submit("b", 2, 1, "two"));
    assert_eq!(version_of(&fixture.apply(promote("p3", "two"))), 2);
    // An older document cannot be promoted again.
    let old = fixture.apply(promote("p4", "one"));
    assert!(is_refused(&old, ErrorKind::Conflict), "{old:?}");
    let again = fixture.apply(promote("p5", "two"));
    assert_eq!(version_of(&again), 2);
}
