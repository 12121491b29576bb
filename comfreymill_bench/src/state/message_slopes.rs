use std::net;
use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_batch::event;
use comfreymill_ledger::codec;
use comfreymill_node::protocol;
use comfreymill_route::router;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;
use comfreymill_types::time;

use super::names;
use crate::figure::Figure;

const EXECUTORS: [usize; 4] = [8, 65, 910, 3_600];
const ATTEMPTS: [usize; 4] = [0, 4, 16, 64];
const TEAMS: [usize; 3] = [2, 25, 75];
const INCARNATION: id::Incarnation = id::Incarnation::new(1_780_000_000_000_000);
const EPOCH: u64 = (3 << 32) + 1;

/// Measures the sizes of the messages between entries and the leader, without framing, and of the
/// JSON bodies between upstreams and entries.
pub fn message_slopes(seed: u64) -> Vec<Figure> {
    let mut figures = Vec::new();
    let mut add = |name: String, bytes: usize| {
        figures.push(Figure::new(format!("message.{name}"), bytes as f64, "B", seed));
    };
    let announce = protocol::Call::Announce(announcement());
    add("executor_announcement".to_owned(), codec::encode(&announce).len());
    add("executor_announcement.json".to_owned(), json_bytes(&announcement()));
    for held in EXECUTORS {
        let call = protocol::Call::Heartbeat(entry_heartbeat(held));
        add(format!("entry_heartbeat.{held}_held"), codec::encode(&call).len());
    }
    for rows in EXECUTORS {
        add(format!("table_push.{rows}_executors"), codec::encode(&table(rows)).len());
    }
    for attempts in ATTEMPTS {
        let (heartbeat, directives) = (worker_heartbeat(attempts), directives(attempts));
        add(format!("worker_heartbeat.{attempts}_attempts.json"), json_bytes(&heartbeat));
        add(format!("worker_directives.{attempts}_attempts.json"), json_bytes(&directives));
        let call = protocol::Call::WorkerHeartbeat(Box::new(heartbeat));
        add(format!("worker_heartbeat.{attempts}_attempts"), codec::encode(&call).len());
        let answer = protocol::Answer::Directives(directives);
        add(format!("worker_directives.{attempts}_attempts"), codec::encode(&answer).len());
    }
    for teams in TEAMS {
        add(format!("documents_push.{teams}_teams"), codec::encode(&documents(teams)).len());
    }
    figures
}

fn json_bytes<T>(value: &T) -> usize
where
    T: serde::Serialize,
{
    serde_json::to_vec(value).map_or(0, |json| json.len())
}

fn announcement() -> protocol::ExecutorAnnouncement {
    protocol::ExecutorAnnouncement {
        name: names::executor(17),
        incarnation: INCARNATION,
        environment: names::environment(),
        stage: document::Stage::Production,
        service: names::name("hull-register"),
        address: address(),
        region: names::name("tas-south"),
        zone: names::name("hobart-a"),
        slots: 8,
        connections: 64,
        state: protocol::UpstreamState::Ready,
        worker: Some(names::worker(17)),
        reserved: size::Resources::new(5_000, 16_000_000_000, 0),
    }
}

fn address() -> net::SocketAddr {
    net::SocketAddr::from(([10, 20, 30, 40], 8_080))
}

fn entry_heartbeat(held: usize) -> protocol::EntryHeartbeat {
    let holding = |number| router::Holding {
        executor: names::executor(number),
        incarnation: INCARNATION,
        epoch: EPOCH,
        slots: 1,
    };
    let services = vec![router::ServiceDemand { service: names::name("hull-register"), slots: 40 }];
    protocol::EntryHeartbeat {
        revision: 20_000,
        demand: vec![protocol::StageDemand { environment_stage: environment_stage(), services }],
        holdings: (0..held).map(holding).collect(),
        avoided: Vec::new(),
        draining: false,
        is_over: false,
    }
}

fn environment_stage() -> protocol::EnvironmentStage {
    protocol::EnvironmentStage {
        environment: names::environment(),
        stage: document::Stage::Production,
    }
}

fn table(executors: usize) -> protocol::Push {
    let row = |number| protocol::ExecutorRow {
        environment_stage: environment_stage(),
        name: names::executor(number),
        incarnation: INCARNATION,
        service: names::name("hull-register"),
        address: address(),
        region: names::name("tas-south"),
        zone: names::name("hobart-a"),
        slots: 1,
        connections: 8,
        epoch: EPOCH,
        leaving: false,
    };
    let rows = (0..executors).map(row).collect();
    protocol::Push::Executors { term: 3, is_whole: true, rows, gone: Vec::new() }
}

fn attempt(number: usize) -> id::AttemptId {
    let task = id::TaskId::new(id::JobId::new(20_000 + number as u64), 0);
    id::AttemptId::new(task, id::AttemptNumber::new(1))
}

fn worker_heartbeat(attempts: usize) -> protocol::WorkerHeartbeat {
    let report = |number| event::AttemptReport {
        attempt: attempt(number),
        state: event::AttemptState::Running,
        checkpoint: None,
        usage: Some(size::Resources::new(870, 3_200_000_000, 0)),
    };
    let executor = event::ExecutorReport {
        executor: names::executor(17),
        service: names::name("hull-register"),
        reserved: size::Resources::new(5_000, 16_000_000_000, 0),
        usage: Some(size::Resources::new(2_700, 9_000_000_000, 0)),
    };
    let report = event::Heartbeat {
        worker: names::worker(17),
        incarnation: INCARNATION,
        sequence: 86_400,
        region: names::name("tas-south"),
        zone: names::name("hobart-a"),
        rack: names::name("rack-17"),
        capacity: size::Resources::new(32_000, 125_000_000_000, 2),
        executors: vec![executor],
        attempts: (0..attempts).map(report).collect(),
        leaving: false,
        usage_age: Duration::from_secs(5),
    };
    protocol::WorkerHeartbeat { report, latencies: Vec::new() }
}

fn directives(attempts: usize) -> protocol::WorkerDirectives {
    let directive = |number| protocol::AttemptDirective {
        assignment: action::Assignment {
            attempt: attempt(number),
            class: names::name("certificate-batch"),
            reserved: size::Resources::new(1_000, 4_000_000_000, 0),
            checkpoint: None,
            directive: action::Directive::Run,
        },
        payload: "{\"register\":\"tas-south\",\"hulls\":\"17000-17249\",\"form\":\"B4\"}"
            .to_owned(),
    };
    protocol::WorkerDirectives {
        sequence: 86_400,
        lease: time::Span::from_millis(5_000),
        next_in: time::Span::from_millis(1_000),
        attempts: (0..attempts).map(directive).collect(),
    }
}

fn documents(teams: usize) -> protocol::Push {
    let text = names::document(teams, 7);
    let view = protocol::DocumentView {
        environment_stage: environment_stage(),
        version: id::Version::new(7),
        digest: id::Digest::of(text.as_bytes()),
        text: text.into(),
        revision: 20_000,
    };
    protocol::Push::Documents { revision: 20_000, documents: vec![view] }
}
