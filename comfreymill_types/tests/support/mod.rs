//! Helpers shared by the test modules.

use std::fmt;
use std::str;

use quickcheck::{Gen, QuickCheck, Testable};

const CASES: u64 = 2_000;
const SIZE: usize = 100;
const SEED: u64 = 3;

/// Runs a property test with a fixed seed.
pub(crate) fn check<T>(property: T)
where
    T: Testable,
{
    QuickCheck::new().tests(CASES).rng(Gen::from_size_and_seed(SIZE, SEED)).quickcheck(property);
}

/// Returns whether parsing the `Display` output of the value gives an equal value.
pub(crate) fn round_trips<T>(value: &T) -> bool
where
    T: fmt::Display + str::FromStr + PartialEq,
{
    value.to_string().parse().is_ok_and(|parsed: T| parsed == *value)
}

/// Returns whether deserializing the JSON of the value gives an equal value.
pub(crate) fn round_trips_in_json<T>(value: &T) -> bool
where
    T: serde::Serialize + serde::de::DeserializeOwned + PartialEq,
{
    let text = serde_json::to_string(value).expect("JSON");
    serde_json::from_str(&text).is_ok_and(|parsed: T| parsed == *value)
}

/// Asserts that parsing each text fails with an error that starts with the quoted text.
pub(crate) fn expect_refusals<T>(texts: &[&str])
where
    T: str::FromStr + fmt::Debug,
    T::Err: fmt::Display,
{
    for text in texts {
        match text.parse::<T>() {
            Ok(value) => panic!("`{text}` was parsed as {value:?}"),
            Err(error) => assert!(error.to_string().starts_with(&format!("`{text}`")), "{error}"),
        }
    }
}
