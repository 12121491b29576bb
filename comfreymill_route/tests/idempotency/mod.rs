use comfreymill_route::idempotency::{InFlightKeys, KeyAdmission};
use comfreymill_types::error::ErrorKind;
use comfreymill_types::id;

use crate::support;

fn key(text: &str) -> id::IdempotencyKey {
    support::name(text)
}

fn refusal(admission: &KeyAdmission) -> Option<ErrorKind> {
    match admission {
        KeyAdmission::Refused(error) => Some(error.get_kind()),
        KeyAdmission::Run | KeyAdmission::Joined { .. } => None,
    }
}

#[test]
fn a_resend_joins_the_run_in_progress() {
    let mut keys = InFlightKeys::new(4, 4);
    let digest = id::Digest::of(b"search");
    assert_eq!(keys.begin(&key("a"), digest, 1), KeyAdmission::Run);
    assert_eq!(keys.begin(&key("a"), digest, 2), KeyAdmission::Joined { run: 1 });
    assert_eq!(keys.begin(&key("a"), digest, 3), KeyAdmission::Joined { run: 1 });
    keys.cancel_joined(&key("a"), 2);
    assert_eq!(keys.finish(&key("a"), 9), Vec::<u64>::new());
    assert_eq!(keys.finish(&key("a"), 1), [3]);
    assert_eq!(keys.begin(&key("a"), digest, 4), KeyAdmission::Run);
}

#[test]
fn a_key_of_another_request_is_refused() {
    let mut keys = InFlightKeys::new(4, 4);
    keys.begin(&key("a"), id::Digest::of(b"one"), 1);
    let admission = keys.begin(&key("a"), id::Digest::of(b"two"), 2);
    assert_eq!(refusal(&admission), Some(ErrorKind::KeyReused));
    assert_eq!(keys.finish(&key("a"), 1), Vec::<u64>::new());
}

#[test]
fn keys_and_joined_requests_are_bounded() {
    let mut keys = InFlightKeys::new(1, 1);
    let digest = id::Digest::of(b"search");
    keys.begin(&key("a"), digest, 1);
    keys.begin(&key("a"), digest, 2);
    let joined = keys.begin(&key("a"), digest, 3);
    assert_eq!(refusal(&joined), Some(ErrorKind::QueueFull));
    let other = keys.begin(&key("b"), digest, 4);
    assert_eq!(refusal(&other), Some(ErrorKind::QueueFull));
    assert_eq!(keys.len(), 1);
}
