//! Caller of the gateways.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::bed::Route;
use crate::json;
use crate::record;
use crate::wire;

/// Time for which a caller waits for an answer.
const DEADLINE: Duration = Duration::from_millis(3_000);

/// Caller of one gateway for one queue.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    record: record::Record,
    gateway: SocketAddr,
    host: &'static str,
    prefix: &'static str,
}

impl Client {
    pub(crate) fn new(record: &record::Record, gateway: SocketAddr, route: &Route) -> Self {
        Self { record: record.clone(), gateway, host: route.host, prefix: route.prefix }
    }

    /// Submits a job; returns the status, if there was an answer.
    pub(crate) fn submit(&self, job: &str, spec: &str) -> Option<u16> {
        self.call("POST", job, spec).map(|reply| reply.status)
    }

    /// Sends a submission and does not wait for its answer; returns the connection.
    pub(crate) fn submit_only(&self, job: &str, spec: &str) -> io::Result<TcpStream> {
        self.record.note(format!("client POST {job} at {}: sent", self.gateway));
        let path = format!("{}{job}", self.prefix);
        wire::send_only(self.gateway, ("POST", &path), &self.headers(), spec, DEADLINE)
    }

    /// Cancels a job; returns the status, if there was an answer.
    pub(crate) fn cancel(&self, job: &str) -> Option<u16> {
        self.call("DELETE", job, "").map(|reply| reply.status)
    }

    /// Returns the status and the state of a job.
    pub(crate) fn state(&self, job: &str) -> Option<(u16, String)> {
        let shown = self.ask(job);
        self.record.note(format!("client GET {job} at {}: {shown:?}", self.gateway));
        shown
    }

    /// Asks for a job's state until it is `state` or another final one; returns the last state.
    pub(crate) fn wait_for(&self, job: &str, state: &str, limit: Duration) -> Option<String> {
        let began = Instant::now();
        let mut last = None;
        while began.elapsed() < limit {
            let shown = self.ask(job);
            if shown != last {
                self.record.note(format!("client GET {job} at {}: {shown:?}", self.gateway));
            }
            last = shown;
            let is_final = |last: &str| [state, "completed", "failed", "cancelled"].contains(&last);
            if last.as_ref().is_some_and(|(_, last)| is_final(last)) {
                break;
            }
            thread::sleep(Duration::from_millis(200));
        }
        last.map(|(_, state)| state)
    }

    fn ask(&self, job: &str) -> Option<(u16, String)> {
        let path = format!("{}{job}", self.prefix);
        let reply = wire::call(self.gateway, ("GET", &path), &self.headers(), "", DEADLINE).ok()?;
        let body = json::parse(&reply.body);
        let state = body.as_ref().and_then(|body| body.text("state")).unwrap_or_default();
        Some((reply.status, state.to_owned()))
    }

    fn headers(&self) -> String {
        format!("host: {}\r\nx-request-deadline: {}\r\n", self.host, DEADLINE.as_millis())
    }

    fn call(&self, method: &str, job: &str, body: &str) -> Option<wire::Reply> {
        let path = format!("{}{job}", self.prefix);
        let reply = wire::call(self.gateway, (method, &path), &self.headers(), body, DEADLINE);
        let text = reply.as_ref().map_or_else(
            |error| format!("no answer: {error}"),
            |reply| format!("{} {}", reply.status, reply.body),
        );
        self.record.note(format!("client {method} {job} at {}: {text}", self.gateway));
        reply.ok()
    }
}
