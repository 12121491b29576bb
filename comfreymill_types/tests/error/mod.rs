//! Consistency of the table of error kinds.

use std::collections::HashSet;
use std::time::Duration;

use comfreymill_types::error;

use crate::support;

#[test]
fn kinds_print_what_they_parse_and_have_their_own_names() {
    let names: HashSet<_> = error::ErrorKind::all().map(error::ErrorKind::as_str).collect();
    assert_eq!(names.len(), error::ErrorKind::all().count());
    for kind in error::ErrorKind::all() {
        assert!(support::round_trips(&kind) && support::round_trips_in_json(&kind), "{kind}");
    }
    support::expect_refusals::<error::ErrorKind>(&["", "Conflict", "none"]);
}

#[test]
fn every_kind_has_an_error_status_and_an_exit_code() {
    for kind in error::ErrorKind::all() {
        let properties = kind.get_properties();
        assert!((400..600).contains(&properties.status), "{kind}");
        assert_ne!(properties.exit_code, 0, "{kind}");
    }
}

/// Guards against running a request twice: only a request known not to have run may be resent.
/// `commit-unknown` is exempt because resent changes are deduplicated.
#[test]
fn requests_that_may_have_run_are_not_resent() {
    for kind in error::ErrorKind::all() {
        let properties = kind.get_properties();
        let is_deduplicated = kind == error::ErrorKind::CommitUnknown;
        if properties.resend && !is_deduplicated {
            assert_eq!(properties.run, error::RunState::NotRun, "{kind}");
        }
        if properties.run != error::RunState::NotRun {
            assert_ne!(properties.status, 503, "{kind}: 503 tells callers to retry");
        }
    }
}

#[test]
fn an_error_shows_its_kind_field_and_message() {
    let error = error::Error::new(error::ErrorKind::QueueFull, "256 wait")
        .field("class")
        .retry_after(Duration::from_secs(2));
    assert_eq!(error.to_string(), "queue-full: class: 256 wait");
    assert_eq!(error.get_retry_after(), Some(Duration::from_secs(2)));
}
