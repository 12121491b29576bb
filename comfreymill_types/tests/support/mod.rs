//! Checks that many topics share.

use std::fmt;
use std::str;

use quickcheck::{Gen, QuickCheck, Testable};

const CASES: u64 = 2_000;
const SIZE: usize = 100;
const SEED: u64 = 3;

/// Runs a property with the seed of this crate.
pub(crate) fn check<T>(property: T)
where
    T: Testable,
{
    QuickCheck::new().tests(CASES).rng(Gen::from_size_and_seed(SIZE, SEED)).quickcheck(property);
}

/// Whether a value parses from the text that it prints.
pub(crate) fn round_trips<T>(value: &T) -> bool
where
    T: fmt::Display + str::FromStr + PartialEq,
{
    value.to_string().parse().is_ok_and(|parsed: T| parsed == *value)
}

/// Whether a value comes back from its JSON.
pub(crate) fn round_trips_in_json<T>(value: &T) -> bool
where
    T: serde::Serialize + serde::de::DeserializeOwned + PartialEq,
{
    let text = serde_json::to_string(value).expect("JSON");
    serde_json::from_str(&text).is_ok_and(|parsed: T| parsed == *value)
}

/// Expects that each text is refused with a message that quotes it.
pub(crate) fn expect_refusals<T>(texts: &[&str])
where
    T: str::FromStr + fmt::Debug,
    T::Err: fmt::Display,
{
    for text in texts {
        match text.parse::<T>() {
            Ok(value) => panic!("`{text}` was taken for {value:?}"),
            Err(error) => assert!(error.to_string().starts_with(&format!("`{text}`")), "{error}"),
        }
    }
}
