use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use comfreymill_types::id;
use comfreymill_types::size;

use crate::cluster::{Cluster, ClusterConfig};
use crate::error::BenchError;
use crate::standin::{Call, Executor, ExecutorConfig, Journal, Worker, WorkerConfig};

const DOCUMENT: &str = include_str!("../../../samples/environment-trust.yaml");
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(10);
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
const REPORT_PERIOD: Duration = Duration::from_secs(1);
const WORKERS_PER_RACK: usize = 11;

/// Cluster and stand-ins of one measurement.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) cluster: Cluster,
    pub(super) journal: Journal,
    executors: Vec<Executor>,
    workers: Vec<Worker>,
    version: u64,
}

impl Fleet {
    /// Returns the configuration of a cluster of this size.
    pub(super) fn config(binary: &Path, controls: usize, entries: usize) -> ClusterConfig {
        ClusterConfig::new(binary).controls(controls).entries(entries)
    }

    /// Starts a cluster and promotes a document to production.
    pub(super) fn start(cfg: &ClusterConfig) -> Result<Self, BenchError> {
        let mut fleet = Self {
            cluster: Cluster::start(cfg)?,
            journal: Journal::default(),
            executors: Vec::new(),
            workers: Vec::new(),
            version: 0,
        };
        fleet.promote()?;
        Ok(fleet)
    }

    /// Adds an executor that announces itself every second. Executors take the zones in turn.
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

    /// Adds a worker that reports every second. Workers take the zones in turn.
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

    /// Sends an operator's call to an entry, and returns the status and body of the answer, if any.
    pub(super) fn operate(&self, entry: usize, call: Call) -> Option<(u16, serde_json::Value)> {
        let address = self.cluster.get_entry(entry).operators;
        let response = call.token(Cluster::TOKEN).send_blocking(address).ok()?;
        let body = serde_json::from_slice(response.body()).unwrap_or_default();
        Some((response.status().as_u16(), body))
    }

    /// Creates the call that submits the next version of the document.
    pub(super) fn next_submission(&mut self) -> Call {
        self.version += 1;
        let version = self.version;
        let text = DOCUMENT.replace("version: 1", &format!("version: {version}"));
        Call::post("/v1/env/derwent-hull/submit", text)
            .header("operation-id", &format!("submit-{version}"))
            .header("replaces", &(version - 1).to_string())
    }

    /// Waits until the condition `is_met` holds; `what` names it in the error.
    pub(super) fn wait<F>(&self, what: &str, mut is_met: F) -> Result<(), BenchError>
    where
        F: FnMut() -> bool,
    {
        let began = Instant::now();
        while !is_met() {
            if began.elapsed() > WAIT_TIMEOUT {
                return Err(BenchError::Timeout(what.to_owned()));
            }
            thread::sleep(POLL);
        }
        Ok(())
    }

    /// Waits for a leader that serves the group, and returns the index of its control process.
    pub(super) fn wait_for_leader(&self) -> Result<usize, BenchError> {
        let mut leader = None;
        self.wait("a leader", || {
            let all = 0..self.cluster.controls.len();
            leader = all.into_iter().find(|control| self.status(*control)["is_serving"] == true);
            leader.is_some()
        })?;
        leader.ok_or_else(|| BenchError::Timeout("a leader".to_owned()))
    }

    /// Waits until all control processes report the same commit index.
    pub(super) fn wait_until_caught_up(&self) -> Result<(), BenchError> {
        self.wait("control processes with the same commit index", || {
            let all = 0..self.cluster.controls.len();
            let mut commits = all.map(|control| self.status(control)["commit"].as_u64());
            let first = commits.next().flatten();
            first.is_some() && commits.all(|commit| commit == first)
        })
    }

    /// Waits until the cluster's status lists all executors and workers of the fleet.
    pub(super) fn wait_for_upstreams(&self) -> Result<(), BenchError> {
        let (executors, workers) = (self.executors.len(), self.workers.len());
        self.wait("all executors and workers", || {
            let call = Call::get("/v1/status");
            let Some((200, body)) = self.operate(0, call) else { return false };
            let known = body["executors"].as_array().map_or(0, Vec::len);
            known == executors && body["batch"]["workers"].as_u64() >= Some(workers as u64)
        })
    }

    /// Returns the current term of a control process, or 0 if it does not answer.
    pub(super) fn get_term(&self, control: usize) -> i64 {
        self.status(control)["term"].as_i64().unwrap_or(0)
    }

    /// Returns the status of a control process, or null if it does not answer.
    fn status(&self, control: usize) -> serde_json::Value {
        if self.cluster.controls[control].get_id().is_none() {
            return serde_json::Value::Null;
        }
        let call = Call::get("/v1/status").token(Cluster::TOKEN).timeout(STATUS_TIMEOUT);
        let answer = call.send_blocking(self.cluster.get_control(control));
        let body = answer.ok().and_then(|answer| serde_json::from_slice(answer.body()).ok());
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

    /// Returns the entries' addresses for upstreams, rotated so that stand-ins begin with
    /// different entries.
    fn rotated_upstreams(&self, number: usize) -> Vec<std::net::SocketAddr> {
        let mut all = self.cluster.get_upstreams();
        let count = all.len();
        all.rotate_left(number % count);
        all
    }
}

/// Parses a name that is known to be valid.
pub(super) fn name<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = id::ParseIdError>,
{
    text.parse().expect("the name is valid")
}
