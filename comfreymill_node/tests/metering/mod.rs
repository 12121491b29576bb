//! Tests that every metric is described and rendered with its labels.

use std::collections::HashSet;
use std::time::Duration;

use comfreymill_jobs::scheduler;
use comfreymill_node::metering;
use comfreymill_node::metering::metric;
use comfreymill_node::metering::observe;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;

fn observe_all() {
    let team: id::TeamName = "counter".parse().expect("valid");
    let class: id::ClassName = "search".parse().expect("valid");
    let tenant = observe::Tenant { team: Some(&team), class: &class };
    observe::request_latency(tenant, Duration::from_millis(4));
    observe::queue_wait(observe::Tenant { team: None, class: &class }, Duration::from_secs(2));
    observe::slots_in_use(tenant, 7);
    observe::request(tenant, error::RunState::NotRun);
    observe::decision("route", "chosen");
    observe::refusal("callers", error::ErrorKind::QueueFull);
    observe::eviction(tenant);
    observe::unmatched_answer();
    observe::peer_bytes("control-1", observe::Direction::Sent).increment(120);
    observe::link_bytes("south", "north").increment(64);
    let environment = "trust".parse().expect("valid");
    observe::open_requests(&environment, document::Stage::Trial, 12, 3);
    observe::job_request("POST", "done", Duration::from_millis(12));
    observe::order("start", "answered", Duration::from_millis(3));
    observe::order_queue_wait("stop", Duration::from_millis(900));
    observe::order_connection_wait("stop", Duration::from_millis(20));
    observe::commit(Duration::from_millis(8));
    let of_loop = metering::LoopMetrics::new(&["report"], &["placement"]);
    of_loop.turn(Duration::from_millis(6));
    of_loop.turn_part(0, Duration::from_millis(4));
    of_loop.input_wait(0, Duration::from_millis(2));
    of_loop.backlog(0, 17);
    of_loop.heartbeat_round_trip(Duration::from_millis(40));
    observe::evacuated_zones(1);
    observe::evacuated_zone_runs(&"hobart-a".parse().expect("a zone"), 3);
    let waited = Duration::from_millis(150);
    observe::locality(scheduler::LocalityCounts { near: 9, away: 1, waits: 2, waited });
    observe::version_in_force(&environment, document::Stage::Production, id::Version::new(9));
    let (wanted, answering) = (5, 3);
    observe::group(observe::GroupCounts { wanted, answering, learners: 2, missing: 1 });
    observe::evacuated_zones(2);
    observe::evacuated_zone_runs(&"south".parse().expect("valid"), 17);
}

#[test]
fn every_metric_is_rendered_with_help_kind_and_labels() {
    let (recorder, meter) = metering::Meter::build().expect("built");
    metrics::with_local_recorder(&recorder, observe_all);
    let text = meter.render();
    for metric in metric::ALL {
        let kind = match metric.kind {
            metric::Kind::Counter => "counter",
            metric::Kind::Gauge => "gauge",
            metric::Kind::Histogram(_) => "histogram",
        };
        assert!(text.contains(&format!("# HELP {} {}\n", metric.name, metric.help)), "{text}");
        assert!(text.contains(&format!("# TYPE {} {kind}\n", metric.name)), "{text}");
    }
    let lines = [
        r#"comfreymill_request_latency_seconds_bucket{team="counter",class="search",le="0.005"} 1"#,
        r#"comfreymill_request_latency_seconds_bucket{team="counter",class="search",le="0.003"} 0"#,
        r#"comfreymill_queue_wait_seconds_sum{team="none",class="search"} 2"#,
        r#"comfreymill_slots_in_use_count{team="counter",class="search"} 1"#,
        r#"comfreymill_requests_total{team="counter",class="search",outcome="not-run"} 1"#,
        r#"comfreymill_decisions_total{part="route",decision="chosen"} 1"#,
        r#"comfreymill_refusals_total{part="callers",kind="queue-full"} 1"#,
        r#"comfreymill_evictions_total{team="counter",class="search"} 1"#,
        "comfreymill_unmatched_answers_total 1",
        "comfreymill_loop_turn_seconds_count 1",
        r#"comfreymill_loop_part_seconds_count{part="placement"} 1"#,
        r#"comfreymill_loop_input_wait_seconds_count{kind="report"} 1"#,
        r#"comfreymill_loop_backlog{kind="report"} 17"#,
        "comfreymill_heartbeat_round_trip_seconds_count 1",
        r#"comfreymill_job_requests_total{method="POST",outcome="done"} 1"#,
        r#"comfreymill_job_request_latency_seconds_bucket{method="POST",le="0.015"} 1"#,
        r#"comfreymill_orders_total{kind="start",outcome="answered"} 1"#,
        r#"comfreymill_order_latency_seconds_bucket{kind="start",le="0.002"} 0"#,
        r#"comfreymill_commit_latency_seconds_bucket{le="0.01"} 1"#,
        r#"comfreymill_peer_bytes_total{peer="control-1",direction="sent"} 120"#,
        r#"comfreymill_link_bytes_total{from="south",to="north"} 64"#,
        r#"comfreymill_open_requests{environment="trust",stage="trial"} 12"#,
        r#"comfreymill_queued_requests{environment="trust",stage="trial"} 3"#,
        r#"comfreymill_version_in_force{environment="trust",stage="production"} 9"#,
        "comfreymill_evacuated_zones 2",
        "comfreymill_group_voters_wanted 5",
        "comfreymill_group_voters_answering 3",
        "comfreymill_group_learners 2",
        "comfreymill_group_votes_missing 1",
        r#"comfreymill_evacuated_zone_runs{zone="south"} 17"#,
    ];
    for line in lines {
        assert!(text.lines().any(|found| found == line), "{line} is not in {text}");
    }
}

#[test]
fn the_recorder_is_installed_once() {
    let first = metering::Meter::install().expect("installed");
    let second = metering::Meter::install().expect("installed before");
    observe::decision("test", "installed-once");
    let expected = r#"{part="test",decision="installed-once"} 1"#;
    assert!(first.render().contains(expected));
    assert!(second.render().contains(expected));
}

#[test]
fn names_are_unique_and_end_in_their_unit() {
    let names: HashSet<_> = metric::ALL.iter().map(|metric| metric.name).collect();
    assert_eq!(names.len(), metric::ALL.len());
    for metric in metric::ALL {
        assert!(metric.name.starts_with("comfreymill_"), "{}", metric.name);
        let is_counter = metric.kind == metric::Kind::Counter;
        assert_eq!(metric.name.ends_with("_total"), is_counter, "{}", metric.name);
        let bounds_rise = match metric.kind {
            metric::Kind::Histogram(bounds) => bounds.is_sorted_by(|a, b| a < b),
            metric::Kind::Counter | metric::Kind::Gauge => true,
        };
        assert!(bounds_rise, "{}", metric.name);
    }
}
