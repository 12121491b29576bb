use comfreymill_route::idempotency::{Join, Joins};
use comfreymill_types::error::ErrorKind;
use comfreymill_types::id;

use crate::support;

fn key(text: &str) -> id::IdempotencyKey {
    support::name(text)
}

fn refusal(join: &Join) -> Option<ErrorKind> {
    match join {
        Join::Refused(error) => Some(error.get_kind()),
        Join::Run | Join::Joined { .. } => None,
    }
}

#[test]
fn a_resend_joins_the_run_in_progress() {
    let mut joins = Joins::new(4, 4);
    let digest = id::Digest::of(b"search");
    assert_eq!(joins.begin(&key("a"), digest, 1), Join::Run);
    assert_eq!(joins.begin(&key("a"), digest, 2), Join::Joined { run: 1 });
    assert_eq!(joins.begin(&key("a"), digest, 3), Join::Joined { run: 1 });
    joins.leave(&key("a"), 2);
    assert_eq!(joins.finish(&key("a"), 9), Vec::<u64>::new());
    assert_eq!(joins.finish(&key("a"), 1), [3]);
    assert_eq!(joins.begin(&key("a"), digest, 4), Join::Run);
}

#[test]
fn a_key_of_another_request_is_refused() {
    let mut joins = Joins::new(4, 4);
    joins.begin(&key("a"), id::Digest::of(b"one"), 1);
    let join = joins.begin(&key("a"), id::Digest::of(b"two"), 2);
    assert_eq!(refusal(&join), Some(ErrorKind::KeyReused));
    assert_eq!(joins.finish(&key("a"), 1), Vec::<u64>::new());
}

#[test]
fn keys_and_joined_requests_are_bounded() {
    let mut joins = Joins::new(1, 1);
    let digest = id::Digest::of(b"search");
    joins.begin(&key("a"), digest, 1);
    joins.begin(&key("a"), digest, 2);
    let joined = joins.begin(&key("a"), digest, 3);
    assert_eq!(refusal(&joined), Some(ErrorKind::QueueFull));
    let other = joins.begin(&key("b"), digest, 4);
    assert_eq!(refusal(&other), Some(ErrorKind::QueueFull));
    assert_eq!(joins.len(), 1);
}
