use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use comfreymill_types::id;
use comfreymill_types::size;

use crate::cluster::{Cluster, ClusterConfig};
use crate::error::BenchError;
use crate::standin::{Call, Executor, ExecutorConfig, Journal, Worker, WorkerConfig};

const DOCUMENT: &str = include_str!("../../../samples/environment-trust.yaml");
const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(10);
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
const REPORT_PERIOD: Duration = Duration::from_secs(1);
const WORKERS_PER_RACK: usize = 11;

/// Processes and stand-ins of one measurement.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) cluster: Cluster,
    pub(super) journal: Journal,
    executors: Vec<Executor>,
    workers: Vec<Worker>,
    version: u64,
}

impl Fleet {
    /// Configuration of a cluster.
    pub(super) fn config(binary: &Path, controls: usize, entries: usize) -> ClusterConfig {
        ClusterConfig::new(binary).controls(controls).entries(entries)
    }

    /// Starts a cluster and puts a document in force in production.
    pub(super) fn start(cfg: &ClusterConfig) -> Result<Self, BenchError> {
        let mut this = Self {
            cluster: Cluster::start(cfg)?,
            journal: Journal::default(),
            executors: Vec::new(),
            workers: Vec::new(),
            version: 0,
        };
        this.promote()?;
        Ok(this)
    }

    /// Adds an executor that announces itself each second, in one zone after the other.
    pub(super) fn add_executor(&mut self, number: usize) -> std::net::SocketAddr {
        let (region, zone) = Cluster::get_zone(number);
        let cfg = ExecutorConfig::new(
            name(&format!("hull-register-{number:04}")),
            name("derwent-hull"),
            name("hull-register"),
            (name(region), name(zone)),
            self.rotated_upstreams(number),
        );
        let cfg =
            cfg.period(REPORT_PERIOD).behaviour(crate::standin::Behaviour::Echo(Duration::ZERO));
        let executor = Executor::start(cfg, self.journal.clone());
        let address = executor.get_address();
        self.executors.push(executor);
        address
    }

    /// Adds a worker that reports each second, in one zone after the other.
    pub(super) fn add_worker(&mut self, number: usize) {
        let (region, zone) = Cluster::get_zone(number);
        let rack = format!("rack-{}", number / WORKERS_PER_RACK);
        let capacity = size::Resources::new(16_000, 60_000_000_000, 0);
        let place = (name(region), name(zone), name(&rack));
        let upstreams = self.rotated_upstreams(number);
        let cfg =
            WorkerConfig::new(name(&format!("worker-{number:04}")), place, capacity, upstreams);
        self.workers.push(Worker::start(cfg.period(REPORT_PERIOD), self.journal.clone()));
    }

    /// Operator's call at an entry; gives status and body, or nothing without an answer.
    pub(super) fn operate(&self, entry: usize, call: Call) -> Option<(u16, serde_json::Value)> {
        let address = self.cluster.get_entry(entry).operators;
        let response = call.token(Cluster::TOKEN).send_blocking(address).ok()?;
        let body = serde_json::from_slice(response.body()).unwrap_or_default();
        Some((response.status().as_u16(), body))
    }

    /// Submission of the next version of the document.
    pub(super) fn next_submission(&mut self) -> Call {
        self.version += 1;
        let version = self.version;
        let text = DOCUMENT.replace("version: 1", &format!("version: {version}"));
        Call::post("/v1/env/derwent-hull/submit", text)
            .header("operation-id", &format!("submit-{version}"))
            .header("replaces", &(version - 1).to_string())
    }

    /// Waits until something holds.
    pub(super) fn wait<F>(&self, what: &str, mut is_met: F) -> Result<(), BenchError>
    where
        F: FnMut() -> bool,
    {
        let began = Instant::now();
        while !is_met() {
            if began.elapsed() > PATIENCE {
                return Err(BenchError::Timeout(what.to_owned()));
            }
            thread::sleep(POLL);
        }
        Ok(())
    }

    /// Control process that leads and may answer for the group.
    pub(super) fn wait_for_leader(&self) -> Result<usize, BenchError> {
        let mut leader = None;
        self.wait("a leader", || {
            let all = 0..self.cluster.controls.len();
            leader = all.into_iter().find(|it| self.status(*it)["is_serving"] == true);
            leader.is_some()
        })?;
        leader.ok_or_else(|| BenchError::Timeout("a leader".to_owned()))
    }

    /// Waits until every control process has committed the same entries.
    pub(super) fn wait_until_caught_up(&self) -> Result<(), BenchError> {
        self.wait("control processes that are level", || {
            let all = 0..self.cluster.controls.len();
            let mut commits = all.map(|it| self.status(it)["commit"].as_u64());
            let first = commits.next().flatten();
            first.is_some() && commits.all(|commit| commit == first)
        })
    }

    /// Waits until the leader knows of so many executors and workers.
    pub(super) fn wait_for_upstreams(&self) -> Result<(), BenchError> {
        let (executors, workers) = (self.executors.len(), self.workers.len());
        self.wait("all executors and workers", || {
            let call = Call::get("/v1/status");
            let Some((200, body)) = self.operate(0, call) else { return false };
            let known = body["executors"].as_array().map_or(0, Vec::len);
            known == executors && body["batch"]["workers"].as_u64() >= Some(workers as u64)
        })
    }

    /// Term in which a control process is.
    pub(super) fn get_term(&self, control: usize) -> i64 {
        self.status(control)["term"].as_i64().unwrap_or(0)
    }

    /// Status of a control process; null while there is none.
    fn status(&self, control: usize) -> serde_json::Value {
        if self.cluster.controls[control].get_id().is_none() {
            return serde_json::Value::Null;
        }
        let call = Call::get("/v1/status").token(Cluster::TOKEN).timeout(STATUS_TIMEOUT);
        let answer = call.send_blocking(self.cluster.get_control(control));
        let body = answer.ok().and_then(|it| serde_json::from_slice(it.body()).ok());
        body.unwrap_or_default()
    }

    fn promote(&mut self) -> Result<(), BenchError> {
        let submit = self.next_submission();
        let mut digest = String::new();
        self.wait("a document in trial", || {
            let Some((200, body)) = self.operate(0, submit.clone()) else { return false };
            digest = body["digest"].as_str().unwrap_or_default().to_owned();
            true
        })?;
        let body = format!("{{\"digest\":\"{digest}\"}}");
        let call = Call::post("/v1/env/derwent-hull/promote", body).header("operation-id", "first");
        self.wait("a document in production", || {
            matches!(self.operate(0, call.clone()), Some((200, _)))
        })
    }

    /// Upstreams' addresses, each stand-in beginning with another entry.
    fn rotated_upstreams(&self, number: usize) -> Vec<std::net::SocketAddr> {
        let mut all = self.cluster.get_upstreams();
        let count = all.len();
        all.rotate_left(number % count);
        all
    }
}

/// Name that is known to be valid.
pub(super) fn name<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = id::ParseIdError>,
{
    text.parse().expect("the name is valid")
}
