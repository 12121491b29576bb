use std::time::{Duration, Instant};

use comfreymill_bench::cluster::{Cluster, ClusterConfig};
use comfreymill_bench::standin::{
    Call, Executor, ExecutorConfig, Journal, RecordKind, Worker, WorkerConfig,
};
use comfreymill_types::size;

/// Longest time a test waits for a condition before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
/// Longest time for which a leaving executor may still get new work.
const LEAVING_PERIOD: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

const DOCUMENT: &str = include_str!("../../samples/environment-trust.yaml");

/// Class of prompt requests that may run at most once, at the end of the sample document.
const ISSUE_CLASS: &str = "
  - name: issue-certificate
    unrepeatable: true
    kind:
      prompt:
        service: hull-register
        deadline: 10s
";

/// Processes and stand-ins of one test.
pub(crate) struct Fixture {
    pub(crate) cluster: Cluster,
    pub(crate) journal: Journal,
    pub(crate) executors: Vec<Executor>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_names: Vec<String>,
}

impl Fixture {
    pub(crate) fn start(controls: usize, entries: usize) -> Self {
        Self::start_with(&Self::config(controls, entries))
    }

    pub(crate) fn config(controls: usize, entries: usize) -> ClusterConfig {
        let binary = env!("CARGO_BIN_EXE_comfreymill");
        ClusterConfig::new(binary).controls(controls).entries(entries)
    }

    pub(crate) fn start_with(cfg: &ClusterConfig) -> Self {
        let cluster = Cluster::start(cfg).expect("the cluster starts");
        let journal = Journal::default();
        Self {
            cluster,
            journal,
            executors: Vec::new(),
            workers: Vec::new(),
            worker_names: Vec::new(),
        }
    }

    pub(crate) fn add_executor(&mut self, name: &str) {
        let parse = "the name is valid";
        let place = ("tas-south".parse().expect(parse), "hobart-a".parse().expect(parse));
        let cfg = ExecutorConfig::new(
            name.parse().expect(parse),
            "derwent-hull".parse().expect(parse),
            "hull-register".parse().expect(parse),
            place,
            self.cluster.get_upstreams(),
        );
        self.executors.push(Executor::start(cfg, self.journal.clone()));
    }

    pub(crate) fn add_worker(&mut self, name: &str) {
        let parse = "the name is valid";
        let place = (
            "tas-south".parse().expect(parse),
            "hobart-a".parse().expect(parse),
            "rack-1".parse().expect(parse),
        );
        let capacity = size::Resources::new(16_000, 60_000_000_000, 0);
        self.worker_names.push(name.to_owned());
        let name = name.parse().expect(parse);
        let cfg = WorkerConfig::new(name, place, capacity, self.cluster.get_upstreams());
        self.workers.push(Worker::start(cfg, self.journal.clone()));
    }

    /// Sends an operator's call to an entry and returns the status and body.
    ///
    /// The status is 0 if the call got no answer.
    pub(crate) fn operate(&self, entry: usize, call: Call) -> (u16, serde_json::Value) {
        let address = self.cluster.get_entry(entry).operators;
        match call.token(Cluster::TOKEN).send_blocking(address) {
            Ok(response) => {
                let body = serde_json::from_slice(response.body()).unwrap_or_default();
                (response.status().as_u16(), body)
            }
            Err(_) => (0, serde_json::Value::Null),
        }
    }

    /// Repeats an operator's call until it succeeds with a body that `is_expected` accepts.
    pub(crate) fn wait_for<F>(&self, what: &str, call: &Call, is_expected: F) -> serde_json::Value
    where
        F: Fn(&serde_json::Value) -> bool,
    {
        let mut last = serde_json::Value::Null;
        self.wait(what, || {
            let (status, body) = self.operate(0, call.clone());
            let is_met = status == 200 && is_expected(&body);
            last = body;
            is_met
        });
        last
    }

    /// Waits until a condition is met; fails with the journal and the logs if it never is.
    pub(crate) fn wait<F>(&self, what: &str, mut is_met: F)
    where
        F: FnMut() -> bool,
    {
        let began = Instant::now();
        while !is_met() {
            if began.elapsed() > WAIT_TIMEOUT {
                let logs = self.cluster.get_logs();
                panic!("timed out waiting for {what}\n{:?}\n{logs}", self.journal.get_records());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until a control process serves as the leader and returns its index.
    pub(crate) fn wait_for_leader(&self) -> usize {
        let mut leader = None;
        self.wait("a leader", || {
            let mut all = 0..self.cluster.controls.len();
            leader = all.find(|index| self.is_serving(*index));
            leader.is_some()
        });
        leader.expect("a leader was seen")
    }

    /// Returns whether a control process reports that it is the leader and may answer for the group.
    pub(crate) fn is_serving(&self, control: usize) -> bool {
        if self.cluster.controls[control].get_id().is_none() {
            return false;
        }
        let call = Call::get("/v1/status").token(Cluster::TOKEN).timeout(Duration::from_secs(1));
        let Ok(response) = call.send_blocking(self.cluster.get_control(control)) else {
            return false;
        };
        let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap_or_default();
        body["is_serving"] == true
    }

    /// Returns the sample document with another version and the class for issuing certificates.
    pub(crate) fn document(version: u64) -> String {
        let sample = DOCUMENT.replace("version: 1", &format!("version: {version}"));
        format!("{sample}{ISSUE_CLASS}")
    }

    /// Submits a version of the sample document to an entry and returns the status and body.
    pub(crate) fn submit(
        &self,
        entry: usize,
        version: u64,
        operation: &str,
    ) -> (u16, serde_json::Value) {
        let call = Call::post("/v1/env/derwent-hull/submit", Self::document(version))
            .header("operation-id", operation)
            .header("replaces", &(version - 1).to_string());
        self.operate(entry, call)
    }

    /// Submits a job of a class of the sample document and returns the job's ID.
    pub(crate) fn submit_job(
        &self,
        key: &str,
        class: &str,
        tasks: u32,
        work_ms: Option<u64>,
    ) -> String {
        let payload = serde_json::json!({ "work_ms": work_ms }).to_string();
        let job = serde_json::json!({
            "environment": "derwent-hull",
            "team": "registry",
            "class": class,
            "tasks": tasks,
            "payload": payload,
        });
        let call = Call::post("/v1/jobs", job.to_string()).header("idempotency-key", key);
        let reply = self.wait_for("an accepted job", &call, |body| body["job"].is_string());
        reply["job"].as_str().expect("a job id").to_owned()
    }

    /// Waits until a job is in a state and returns the description of the job.
    pub(crate) fn wait_for_job(&self, job: &str, state: &str) -> serde_json::Value {
        let show = Call::get(format!("/v1/jobs/{job}"));
        self.wait_for(&format!("{job} to be {state}"), &show, |body| body["state"] == state)
    }

    /// Submits the sample document and promotes it.
    pub(crate) fn promote_document(&self) {
        let submit = Call::post("/v1/env/derwent-hull/submit", Self::document(1))
            .header("operation-id", "submit-1")
            .header("replaces", "0");
        let reply = self.wait_for("a document in trial", &submit, |body| body["version"] == 1);
        let digest = reply["digest"].as_str().expect("a digest");
        let promotion = format!("{{\"digest\":\"{digest}\"}}");
        let promote = Call::post("/v1/env/derwent-hull/promote", promotion)
            .header("operation-id", "promote-1");
        self.wait_for("a document in production", &promote, |body| body["digest"] == digest);
    }

    /// Waits until the leader knows that an executor is leaving, and then for as long as the
    /// executor may still get new work.
    pub(crate) fn wait_until_left(&self, name: &str) {
        let status = Call::get("/v1/status");
        self.wait_for(&format!("{name} to be leaving"), &status, |body| {
            let executors = body["executors"].as_array().cloned().unwrap_or_default();
            executors
                .iter()
                .any(|executor| executor["name"] == name && executor["is_leaving"] == true)
        });
        std::thread::sleep(LEAVING_PERIOD);
    }

    /// Sends a search until it is answered with status 200 and returns the body.
    pub(crate) fn search(&self, entry: usize, name: &str) -> String {
        let mut answer = String::new();
        self.wait(&format!("an answer to {name}"), || {
            let target = format!("/v1/derwent-hull/name-search/{name}");
            let call = Call::post(target, name.to_owned()).header("comfreymill-team", "counter");
            let sent = call.send_blocking(self.cluster.get_entry(entry).callers);
            let Ok(response) = sent else { return false };
            answer = String::from_utf8_lossy(response.body()).into_owned();
            response.status().as_u16() == 200
        });
        answer
    }

    /// Waits until the journal has a record of this kind for a subject with this prefix.
    pub(crate) fn wait_for_record(&self, subject: &str, kind: &RecordKind) {
        let what = format!("{kind:?} of {subject}");
        self.wait(&what, || self.journal.count(subject, kind) > 0);
    }
}
