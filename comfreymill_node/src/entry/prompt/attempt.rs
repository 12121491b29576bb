use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use comfreymill_http::client;
use comfreymill_http::hop;
use comfreymill_route::router;
use comfreymill_types::id;

use super::context::Context;
use super::gate::Gate;
use crate::metering::observe;
use crate::web;

const NOT_RUN: &str = "not-run";
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(20);
// Connecting may take a quarter of the time left, which leaves time to try another executor.
const CONNECT_TIMEOUT_DIVISOR: u32 = 4;

/// Complete answer of an executor.
#[derive(Clone, Debug)]
pub(super) struct ExecutorAnswer {
    pub(super) status: http::StatusCode,
    pub(super) headers: http::HeaderMap,
    pub(super) body: Bytes,
}

/// Single attempt to run a request on an executor.
pub(super) struct Attempt {
    pub(super) cx: Context,
    pub(super) address: SocketAddr,
    /// Region of the executor, if it differs from that of this entry.
    pub(super) remote_region: Option<id::RegionName>,
    pub(super) head: Rc<http::request::Parts>,
    pub(super) body: Bytes,
    /// Time left until the deadline of the request.
    pub(super) time_left: Duration,
    /// Must be passed before the first byte is sent.
    pub(super) gate: Gate,
}

/// Outcome of an attempt, with the answer if it arrived completely.
pub(super) type AttemptResult = (router::Outcome, Option<ExecutorAnswer>);

impl Attempt {
    /// Sends the request and reads the complete answer.
    pub(super) async fn run(self) -> AttemptResult {
        let started_at = Instant::now();
        let mut connection = match self.cx.pool.take(self.address, self.connect_timeout()).await {
            Ok(connection) => connection,
            Err(error) => return (outcome(&error), None),
        };
        if !self.gate.begin() {
            self.cx.pool.put(self.address, connection);
            return (router::Outcome::NothingSent, None);
        }
        let before = connection.traffic();
        let answer = self.exchange(&mut connection).await;
        self.count_region_traffic(before, connection.traffic());
        self.cx.pool.put(self.address, connection);
        match answer {
            Err(error) => (outcome(&error), None),
            Ok(answer) if is_not_run(&answer) => (router::Outcome::RefusedByUpstream, None),
            Ok(answer) => {
                let latency = started_at.elapsed();
                let status = answer.status.as_u16();
                (router::Outcome::Answered { latency, status }, Some(answer))
            }
        }
    }

    /// Counts the bytes that were exchanged with an executor in another region.
    fn count_region_traffic(&self, before: client::Traffic, after: client::Traffic) {
        if let (Some(local), Some(remote)) = (&self.cx.region, &self.remote_region) {
            let (local, remote) = (local.as_str(), remote.as_str());
            observe::link_bytes(local, remote).increment(after.sent - before.sent);
            observe::link_bytes(remote, local).increment(after.received - before.received);
        }
    }

    fn connect_timeout(&self) -> Duration {
        let timeout = self.time_left / CONNECT_TIMEOUT_DIVISOR;
        timeout.clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
    }

    async fn exchange(
        &self,
        connection: &mut client::Connection,
    ) -> Result<ExecutorAnswer, client::ClientError> {
        let mut response = connection.send(&self.head, self.body.clone()).await?;
        let body = response.collect(self.cx.max_body_bytes).await?;
        let mut headers = response.take_headers();
        hop::remove_hop_by_hop(&mut headers);
        Ok(ExecutorAnswer { status: response.status(), headers, body })
    }
}

/// Returns whether the executor refused the request without running it.
fn is_not_run(answer: &ExecutorAnswer) -> bool {
    let is_marked = answer.headers.get(web::RUN_HEADER).is_some_and(|value| value == NOT_RUN);
    is_marked && answer.status == http::StatusCode::SERVICE_UNAVAILABLE
}

fn outcome(error: &client::ClientError) -> router::Outcome {
    match (error.sent, error.kind) {
        (client::Sent::Nothing, _) => router::Outcome::NothingSent,
        (client::Sent::Some, client::ClientErrorKind::Body(_)) => router::Outcome::CutShort,
        (client::Sent::Some, _) => router::Outcome::SentNoAnswer,
    }
}
