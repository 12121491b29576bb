//! Spans and drifts print what they parse.

use std::time::Duration;

use comfreymill_types::time;

#[test]
fn drift_parses_what_it_prints() {
    for text in ["0ppm", "200ppm", "1000000ppm"] {
        let drift: time::Drift = text.parse().expect("valid");
        assert_eq!(drift.to_string(), text);
    }
}

#[test]
fn drift_refuses_other_units_and_too_much() {
    for text in ["200", "2%", "ppm", "-1ppm", "1000001ppm", "1.5ppm"] {
        let error = text.parse::<time::Drift>().expect_err(text);
        assert!(error.to_string().contains(&format!("`{text}`")), "{error}");
    }
}

#[test]
fn drift_grows_with_the_time() {
    let drift = time::Drift::from_ppm(200);
    assert_eq!(drift.over(Duration::from_secs(5)), Duration::from_millis(1));
    assert!(drift.over(Duration::MAX) < Duration::MAX);
}
