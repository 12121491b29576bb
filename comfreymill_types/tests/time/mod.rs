//! Parsing, formatting and arithmetic of spans, drifts and points in time.

use std::time::Duration;

use comfreymill_types::time;

use crate::support;

#[test]
fn spans_print_what_they_parse() {
    fn holds(micros: u64) -> bool {
        let span = time::Span::from(Duration::from_micros(micros));
        support::round_trips(&span) && support::round_trips_in_json(&span)
    }
    support::check(holds as fn(u64) -> bool);
    for millis in [0, 1, 250, 1_000, 90_000, 7_200_000] {
        assert!(support::round_trips(&time::Span::from_millis(millis)), "{millis}");
    }
}

#[test]
fn spans_take_fractions_and_units() {
    let cases = [
        ("250ms", 250_000),
        ("2.5s", 2_500_000),
        ("0.5ms", 500),
        ("1.5m", 90_000_000),
        ("7.2h", 25_920_000_000),
        ("3us", 3),
        ("0s", 0),
    ];
    for (text, micros) in cases {
        let span: time::Span = text.parse().expect(text);
        assert_eq!(span.get_duration(), Duration::from_micros(micros), "{text}");
    }
}

#[test]
fn spans_refuse_other_text() {
    support::expect_refusals::<time::Span>(&[
        "",
        "5",
        "s",
        "5 s",
        "-5s",
        "+5s",
        "5d",
        "5S",
        "1e3s",
        "infs",
        "nans",
        "0.5us",
        "1.s",
        ".5s",
        "1.2.3s",
        "99999999999999999999s",
        "6000000000h",
        "0.0000000000001s",
    ]);
}

#[test]
fn drifts_print_what_they_parse() {
    for text in ["0ppm", "200ppm", "1000000ppm"] {
        let drift: time::Drift = text.parse().expect("valid");
        assert_eq!(drift.to_string(), text);
        assert!(support::round_trips_in_json(&drift));
    }
}

#[test]
fn drifts_refuse_other_units_and_too_much() {
    support::expect_refusals::<time::Drift>(&["200", "2%", "ppm", "-1ppm", "1000001ppm", "1.5ppm"]);
}

#[test]
fn clock_offset_grows_with_the_span() {
    let drift = time::Drift::from_ppm(200);
    assert_eq!(drift.max_offset_after(Duration::from_secs(5)), Duration::from_millis(1));
    assert!(drift.max_offset_after(Duration::MAX) < Duration::MAX);
}

#[test]
fn points_in_time_never_wrap() {
    let start = time::Monotonic::from_millis(5);
    let later = start + Duration::from_millis(3);
    assert_eq!(later.since(start), Duration::from_millis(3));
    assert_eq!(start.since(later), Duration::ZERO);
    assert_eq!(time::Monotonic::MAX + Duration::MAX, time::Monotonic::MAX);
}
