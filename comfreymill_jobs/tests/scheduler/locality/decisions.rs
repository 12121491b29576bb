use std::time::Duration;

use comfreymill_jobs::id::WorkerNumber;
use comfreymill_jobs::scheduler::{Case, Choice, Forecast, Opening, Reason, RemoteFactor, decide};
use comfreymill_jobs::worker::Resources;

use super::world::Random;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const fn opening(expected: u64, latest: u64) -> Opening {
    Opening { expected: ms(expected), latest: ms(latest) }
}

fn case(opening: Opening, extra: u64, slack: Option<u64>) -> Case {
    let slack = slack.map(ms);
    Case { opening: Some(opening), extra: ms(extra), spread: ms(50), slack, waited: ms(0) }
}

#[test]
fn a_task_waits_while_the_wait_is_shorter_than_what_it_saves() {
    let short = case(opening(100, 150), 400, Some(2_000));
    assert_eq!(decide(&short), Choice::Wait(ms(400)));
    let long = case(opening(300, 450), 400, Some(2_000));
    assert_eq!(decide(&long), Choice::Anywhere(Reason::NotWorthIt));
    let hopeless = Case { opening: None, ..short };
    assert_eq!(decide(&hopeless), Choice::Anywhere(Reason::NoPlace));
}

#[test]
fn a_task_only_waits_until_its_last_chance_elsewhere() {
    let tight = case(opening(100, 140), 400, Some(700));
    assert_eq!(decide(&tight), Choice::Wait(ms(150)));
    let tighter = case(opening(100, 150), 400, Some(620));
    assert_eq!(decide(&tighter), Choice::Anywhere(Reason::NoTime));
}

#[test]
fn a_task_that_is_in_time_only_on_its_rack_waits_for_it_longer() {
    let only_near = case(opening(450, 700), 400, Some(480));
    assert_eq!(decide(&only_near), Choice::Anywhere(Reason::NotWorthIt));
    let only_near = case(opening(300, 370), 400, Some(480));
    assert_eq!(decide(&only_near), Choice::Wait(ms(380)));
}

#[test]
fn waits_are_bounded_whatever_is_known() {
    let mut random = Random::new(11);
    for _ in 0..20_000 {
        let expected = random.below(3_000);
        let opening = opening(expected, expected + random.below(1_000));
        let extra = random.below(4_000);
        let slack = (random.below(4) > 0).then(|| random.below(5_000));
        let waited = ms(random.below(2_500));
        let case = Case { waited, ..case(opening, extra, slack) };
        let Choice::Wait(span) = decide(&case) else { continue };
        assert!(waited + span <= ms(2_000), "{case:?} waits for {span:?}");
        let slack = slack.map(ms).unwrap_or_default().saturating_sub(ms(100));
        if slack > ms(extra) + case.spread {
            assert!(span + ms(extra) <= slack, "{case:?} is late after {span:?}");
        }
        let is_late_elsewhere = slack < ms(extra);
        let is_within_extra = waited + span <= ms(extra);
        assert!(is_within_extra || is_late_elsewhere && span <= slack, "{case:?}: {span:?}");
    }
}

#[test]
fn a_forecast_gives_each_place_to_one_task() {
    let needs = |cpu_milli| Resources { cpu_milli, mem_mb: 100, gpus: 0 };
    let end = |at| (Opening { expected: ms(at), latest: ms(at + 10) }, needs(2_000));
    let mut forecast = Forecast::default();
    forecast.add_worker(WorkerNumber::new(1), needs(0), [end(300), end(500)]);
    forecast.add_worker(WorkerNumber::new(2), needs(0), [end(400)]);
    let duration = Opening { expected: ms(1_000), latest: ms(1_000) };
    let mut book = |cpu_milli| {
        let opening = forecast.book(&needs(cpu_milli), duration, |_| true)?;
        Some(opening.expected.as_millis())
    };
    assert_eq!(book(5_000), None);
    assert_eq!(book(2_000), Some(350));
    assert_eq!(book(2_000), Some(450));
    assert_eq!(book(2_000), Some(550));
    assert_eq!(book(2_000), Some(1_350));
}

#[test]
fn a_factor_is_a_number_from_1() {
    let factor: RemoteFactor = "1.5".parse().expect("a factor");
    assert_eq!(factor.extra(ms(600)), ms(300));
    assert_eq!(factor.to_string(), "1.50");
    for text in ["0.9", "-2", "NaN", "inf", "", "101", "x"] {
        assert!(text.parse::<RemoteFactor>().is_err(), "{text} is no factor");
    }
}
