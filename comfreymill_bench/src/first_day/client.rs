use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::standin::Call;

const STEP_TIMEOUT: Duration = Duration::from_secs(45);
const POLL: Duration = Duration::from_millis(100);
const EVICTIONS: &str = "comfreymill_evictions_total";

/// Failure of a step of the example.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{step}: {last}")]
pub struct FirstDayError {
    step: String,
    last: String,
}

/// Creates the error of a step with its last answer or error.
pub(super) fn failed(step: &str, last: String) -> FirstDayError {
    FirstDayError { step: step.to_owned(), last }
}

/// Operator's client in the example.
#[derive(Clone, Debug)]
pub struct Client {
    operators: SocketAddr,
    token: String,
}

impl Client {
    /// Creates a client of the operators' listener at this address.
    pub fn new<T>(operators: SocketAddr, token: T) -> Self
    where
        T: Into<String>,
    {
        Self { operators, token: token.into() }
    }

    /// Submits and promotes a document.
    ///
    /// # Errors
    ///
    /// The document was not accepted in time.
    pub fn promote(&self, document: &str) -> Result<(), FirstDayError> {
        let submit = Call::post("/v1/env/derwent-hull/submit", document.to_owned())
            .header("operation-id", "first-day-submit")
            .header("replaces", "0");
        let reply =
            self.repeat("submit the document", &submit, |body| body["digest"].is_string())?;
        let digest = serde_json::json!({ "digest": reply["digest"] }).to_string();
        let promote = Call::post("/v1/env/derwent-hull/promote", digest)
            .header("operation-id", "first-day-promote");
        self.repeat("promote the document", &promote, |body| body["digest"].is_string())?;
        Ok(())
    }

    /// Submits a job and returns its id.
    ///
    /// # Errors
    ///
    /// The job was not accepted in time.
    pub fn submit_job(
        &self,
        key: &str,
        class: &str,
        tasks: u32,
        work_ms: Option<u64>,
    ) -> Result<String, FirstDayError> {
        let job = serde_json::json!({
            "environment": "derwent-hull",
            "team": "registry",
            "class": class,
            "tasks": tasks,
            "payload": serde_json::json!({ "work_ms": work_ms }).to_string(),
        });
        let call = Call::post("/v1/jobs", job.to_string()).header("idempotency-key", key);
        let reply = self.repeat("submit a job", &call, |body| body["job"].is_string())?;
        Ok(reply["job"].as_str().unwrap_or_default().to_owned())
    }

    /// Waits until a job has ended, and returns a one-line summary.
    ///
    /// A task that may run at most once waits for an operator when its worker is lost; the job
    /// then ends as parked.
    ///
    /// # Errors
    ///
    /// The job did not end in time.
    pub fn wait_for_job(&self, job: &str) -> Result<String, FirstDayError> {
        let call = Call::get(format!("/v1/jobs/{job}"));
        let view = self.repeat("wait for the job", &call, |body| body["state"] != "active")?;
        let tasks = view["tasks"].as_array().map_or(0, Vec::len);
        let state = view["state"].as_str().unwrap_or_default();
        Ok(format!("{job} is {state}, {} of {tasks} tasks finished", view["finished"]))
    }

    /// Returns the reason of the last decision about a task.
    ///
    /// # Errors
    ///
    /// No answer was received in time.
    pub fn explain(&self, task: &str) -> Result<String, FirstDayError> {
        let call = Call::get(format!("/v1/explain/{task}"));
        let body = self.repeat("explain a task", &call, |body| body["decisions"].is_array())?;
        let last = body["decisions"].as_array().and_then(|all| all.last().cloned());
        let last = last.unwrap_or_default();
        Ok(last["reason"].as_str().unwrap_or_default().to_owned())
    }

    /// Returns the number of evictions that the metrics count.
    ///
    /// # Errors
    ///
    /// No answer was received.
    pub fn count_evictions(&self) -> Result<u64, FirstDayError> {
        let call = Call::get("/metrics").token(&self.token);
        let answer = call
            .send_blocking(self.operators)
            .map_err(|error| failed("read the metrics", error.to_string()))?;
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        let lines = text.lines().filter(|line| line.starts_with(EVICTIONS));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        Ok(values.sum())
    }

    /// Repeats a call until its answer is accepted by `fits` or the step times out.
    fn repeat<F>(
        &self,
        step: &str,
        call: &Call,
        fits: F,
    ) -> Result<serde_json::Value, FirstDayError>
    where
        F: Fn(&serde_json::Value) -> bool,
    {
        let began = Instant::now();
        let mut last = String::new();
        while began.elapsed() < STEP_TIMEOUT {
            match call.clone().token(&self.token).send_blocking(self.operators) {
                Ok(answer) => {
                    let body = serde_json::from_slice(answer.body()).unwrap_or_default();
                    if answer.status().is_success() && fits(&body) {
                        return Ok(body);
                    }
                    last = body.to_string();
                }
                Err(error) => last = error.to_string(),
            }
            thread::sleep(POLL);
        }
        Err(failed(step, last))
    }
}
