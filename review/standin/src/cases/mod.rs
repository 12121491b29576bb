//! The cases, one file each. Each returns how the rule was broken, if it was.

mod gang;
mod given_up;
mod late_departure;
mod late_submit;
mod reborn;
mod renamed_route;
mod twice;

use crate::bed::{CaseError, Route};
use crate::record;

/// How the rule was broken; `None` if it held.
type Outcome = Result<Option<String>, CaseError>;

/// Route of the cases.
const ROUTE: Route =
    Route { name: "r-3hwrr6x", host: "nony24.example", prefix: "/lohu930/", timeout_ms: 3_000 };

/// Runs the case `name`.
pub(crate) fn run(name: &str, record: &record::Record, has_trouble: bool) -> Outcome {
    match name {
        "reborn" => reborn::run(record, has_trouble),
        "given-up" => given_up::run(record, has_trouble),
        "gang" => gang::run(record, has_trouble),
        "late-submit" => late_submit::run(record, has_trouble),
        "renamed-route" => renamed_route::run(record, has_trouble),
        "late-departure" => late_departure::run(record, has_trouble),
        _ => Err(CaseError(format!("there is no case {name:?}"))),
    }
}

/// Returns the labels of executor `number`: its kind and its rack.
fn labels(number: usize) -> Vec<String> {
    vec!["a".to_owned(), format!("r1-{}", number / 4)]
}
