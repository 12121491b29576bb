//! Parsing and formatting of names, keys, numeric ids and digests.

use comfreymill_types::id;

use crate::support;

#[test]
fn numbers_print_what_they_parse() {
    fn holds(number: u64, index: u32, attempt: u32) -> bool {
        let job = id::JobId::new(number);
        let task = id::TaskId::new(job, index);
        let attempt = id::AttemptId::new(task, id::AttemptNumber::new(attempt));
        let incarnation = id::Incarnation::new(number);
        support::round_trips(&job)
            && support::round_trips(&task)
            && support::round_trips(&attempt)
            && support::round_trips(&incarnation)
            && support::round_trips_in_json(&attempt)
            && support::round_trips(&id::Version::new(number))
    }
    support::check(holds as fn(u64, u32, u32) -> bool);
}

#[test]
fn numbers_refuse_other_text() {
    support::expect_refusals::<id::JobId>(&["", "17", "j", "J17", "j-1", "j1.2", "j 1"]);
    support::expect_refusals::<id::TaskId>(&["", "j17", "j17.", "j17.x", ".3", "j17.3#2"]);
    support::expect_refusals::<id::AttemptId>(&["", "j17.3", "j17.3#", "j17#2", "j17.3#x"]);
    support::expect_refusals::<id::Incarnation>(&["", "i", "17", "i-1"]);
}

#[test]
fn names_take_lower_case_letters_digits_and_punctuation() {
    for text in ["a", "0", "hobart-a", "tas_south.1", &"a".repeat(63)] {
        let name: id::ZoneName = text.parse().expect(text);
        assert!(support::round_trips(&name) && support::round_trips_in_json(&name));
    }
    let too_long = "a".repeat(64);
    support::expect_refusals::<id::ZoneName>(&[
        "", "A", "hobart a", "-a", "_a", ".a", "a/b", "ș", "a\n", &too_long,
    ]);
}

#[test]
fn keys_take_visible_ascii() {
    for text in ["a", "Hull 7".replace(' ', "/").as_str(), &"k".repeat(255)] {
        let key: id::IdempotencyKey = text.parse().expect(text);
        assert!(support::round_trips(&key));
    }
    support::expect_refusals::<id::IdempotencyKey>(&["", "a b", "a\n", "é"]);
    let too_long = "k".repeat(256);
    too_long.parse::<id::IdempotencyKey>().expect_err("too long");
}

#[test]
fn digests_differ_with_the_text_and_print_what_they_parse() {
    fn holds(data: Vec<u8>) -> bool {
        let digest = id::Digest::of(&data);
        let longer = id::Digest::of(&[data, vec![0]].concat());
        support::round_trips(&digest) && support::round_trips_in_json(&digest) && digest != longer
    }
    support::check(holds as fn(Vec<u8>) -> bool);
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    assert_eq!(id::Digest::of(b"").to_string(), empty);
    let short = &empty[1..];
    support::expect_refusals::<id::Digest>(&["", "xyz", short]);
}

/// Covers text of the right length in bytes, both ASCII and non-ASCII.
#[test]
fn digests_refuse_text_that_is_not_hexadecimal() {
    let letters = "g".repeat(64);
    letters.parse::<id::Digest>().expect_err("not hexadecimal");
    let accents = "é".repeat(32);
    accents.parse::<id::Digest>().expect_err("not ASCII");
}
