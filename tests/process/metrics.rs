use std::net::SocketAddr;

use comfreymill_bench::cluster::Cluster;
use comfreymill_bench::standin::{Call, RecordKind};

use crate::support::Fixture;

const BODY_BYTES: usize = 30_000;

/// Returns the metrics of a process as text.
fn read_metrics(address: SocketAddr) -> String {
    let call = Call::get("/metrics").token(Cluster::TOKEN);
    let response = call.send_blocking(address).expect("an answer");
    assert_eq!(response.status().as_u16(), 200);
    String::from_utf8(response.body().to_vec()).expect("UTF-8")
}

/// Returns the value of the sample with this name and labels, 0 if there is none.
fn value(text: &str, sample: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(sample)?.strip_prefix(' '));
    line.map_or(0.0, |value| value.parse().expect("a number"))
}

#[test]
fn an_entry_counts_by_team_and_class_and_by_peer() {
    let mut fixture = Fixture::start(1, 1);
    fixture.promote_document();
    fixture.add_executor("hr-1");
    fixture.search(0, "first");
    let entry = fixture.cluster.get_entry(0);
    let stranger = Call::post("/v1/derwent-hull/name-search/second", "second")
        .header("comfreymill-team", "stranger");
    let answer = stranger.send_blocking(entry.callers).expect("an answer");
    assert_eq!(answer.status().as_u16(), 200);
    let refused = Call::get("/nowhere").send_blocking(entry.callers).expect("an answer");
    assert_eq!(refused.status().as_u16(), 404);

    let text = read_metrics(entry.operators);
    let of_counter = r#"{team="counter",class="name-search"}"#;
    let of_none = r#"{team="none",class="name-search"}"#;
    assert!(value(&text, &format!("comfreymill_request_latency_seconds_count{of_counter}")) >= 1.0);
    assert!(value(&text, &format!("comfreymill_request_latency_seconds_sum{of_counter}")) > 0.0);
    assert!(value(&text, &format!("comfreymill_queue_wait_seconds_count{of_counter}")) >= 1.0);
    assert!(value(&text, &format!("comfreymill_slots_in_use_count{of_counter}")) >= 1.0);
    assert!(value(&text, &format!("comfreymill_request_latency_seconds_count{of_none}")) >= 1.0);
    assert!(!text.contains("stranger"), "a team that is not in the document is no label");
    let run = r#"comfreymill_requests_total{team="counter",class="name-search",outcome="run"}"#;
    assert_eq!(value(&text, run), 1.0, "{text}");
    let refusal = r#"comfreymill_refusals_total{part="prompt",kind="not-found"}"#;
    assert!(value(&text, refusal) >= 1.0);
    assert!(value(&text, r#"comfreymill_decisions_total{part="route",decision="send"}"#) >= 2.0);
    for direction in ["sent", "received"] {
        let sample =
            format!(r#"comfreymill_peer_bytes_total{{peer="control-0",direction="{direction}"}}"#);
        assert!(value(&text, &sample) > 0.0, "{sample}");
    }
    let version = r#"comfreymill_version_in_force{environment="derwent-hull",stage="production"}"#;
    assert_eq!(value(&text, version), 1.0);
}

#[test]
fn a_leader_counts_its_decisions_on_tasks() {
    let mut fixture = Fixture::start(1, 1);
    fixture.promote_document();
    fixture.add_worker("w-1");
    let job = r#"{"environment":"derwent-hull","team":"registry","class":"certificate-batch",
        "payload":"{\"work_ms\":50}"}"#;
    let submit = Call::post("/v1/jobs", job).header("idempotency-key", "metrics-1");
    fixture.wait_for("an accepted job", &submit, |body| body["job"].is_string());
    fixture.wait_for_record("j1.0", &RecordKind::Finished);
    let control = fixture.cluster.get_control(0);
    let end = r#"comfreymill_decisions_total{part="batch",decision="end"}"#;
    fixture.wait("a counted end", || value(&read_metrics(control), end) >= 1.0);
    let text = read_metrics(control);
    let start = r#"comfreymill_decisions_total{part="batch",decision="start"}"#;
    assert_eq!(value(&text, start), 1.0, "{text}");
    let waited =
        r#"comfreymill_queue_wait_seconds_count{team="registry",class="certificate-batch"}"#;
    assert_eq!(value(&text, waited), 1.0, "{text}");
}

/// Returns the bytes that a process in the region `near` counted on the link to `tas-south`, out and
/// back.
fn get_link_bytes(address: SocketAddr, near: &str) -> [f64; 2] {
    let text = read_metrics(address);
    [(near, "tas-south"), ("tas-south", near)].map(|(from, to)| {
        value(&text, &format!(r#"comfreymill_link_bytes_total{{from="{from}",to="{to}"}}"#))
    })
}

#[test]
fn bytes_between_regions_are_counted() {
    let mut fixture = Fixture::start(3, 3);
    fixture.promote_document();
    fixture.add_executor("hr-1");
    let far = (0..3).find(|index| Cluster::get_zone(*index).0 != "tas-south");
    let far = far.expect("an entry in the other region");
    let near = Cluster::get_zone(far).0;
    let voter = fixture.cluster.get_control(far);
    fixture.wait("frames between voters", || {
        get_link_bytes(voter, near).iter().all(|bytes| *bytes > 0.0)
    });

    fixture.search(far, "far");
    let entry = fixture.cluster.get_entry(far);
    let before = get_link_bytes(entry.operators, near);
    let body = "x".repeat(BODY_BYTES);
    let call = Call::post("/v1/derwent-hull/name-search/large", body);
    let answer = call.send_blocking(entry.callers).expect("an answer");
    assert_eq!(answer.status().as_u16(), 200);
    let after = get_link_bytes(entry.operators, near);
    for (before, after) in before.iter().zip(&after) {
        assert!(after - before >= BODY_BYTES as f64, "{before} to {after}");
    }
}

#[test]
fn metrics_require_the_token() {
    let fixture = Fixture::start(1, 1);
    let addresses = [fixture.cluster.get_entry(0).operators, fixture.cluster.get_control(0)];
    for address in addresses {
        fixture.wait("a listener", || Call::get("/healthz").send_blocking(address).is_ok());
        let answer = Call::get("/metrics").send_blocking(address).expect("an answer");
        assert_eq!(answer.status().as_u16(), 401);
    }
}
