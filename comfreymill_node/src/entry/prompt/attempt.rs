use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use comfreymill_http::client;
use comfreymill_http::hop;
use comfreymill_route::router;
use comfreymill_types::id;

use super::context::Context;
use crate::metering::observe;
use crate::web;

const NOT_RUN: &str = "not-run";

/// Whole answer of an executor.
#[derive(Clone, Debug)]
pub(super) struct ExecutorAnswer {
    pub(super) status: http::StatusCode,
    pub(super) headers: http::HeaderMap,
    pub(super) body: Bytes,
}

/// Sends a request to an executor and reads the whole answer.
pub(super) async fn attempt(
    cx: &Context,
    address: SocketAddr,
    far_region: Option<&id::RegionName>,
    head: &http::request::Parts,
    body: Bytes,
) -> (router::Outcome, Option<ExecutorAnswer>) {
    let began = Instant::now();
    let mut connection = match cx.pool.take(address).await {
        Ok(connection) => connection,
        Err(error) => return (outcome(&error), None),
    };
    let before = connection.traffic();
    let answer = exchange(cx, &mut connection, head, body).await;
    if let (Some(near), Some(far)) = (&cx.region, far_region) {
        let now = connection.traffic();
        observe::link_bytes(near.as_str(), far.as_str()).increment(now.sent - before.sent);
        observe::link_bytes(far.as_str(), near.as_str()).increment(now.received - before.received);
    }
    cx.pool.put(address, connection);
    match answer {
        Err(error) => (outcome(&error), None),
        Ok(answer) if is_not_run(&answer) => (router::Outcome::RefusedByUpstream, None),
        Ok(answer) => {
            let latency = began.elapsed();
            let status = answer.status.as_u16();
            (router::Outcome::Answered { latency, status }, Some(answer))
        }
    }
}

async fn exchange(
    cx: &Context,
    connection: &mut client::Connection,
    head: &http::request::Parts,
    body: Bytes,
) -> Result<ExecutorAnswer, client::ClientError> {
    let mut response = connection.send(head, body).await?;
    let body = response.collect(cx.max_body_bytes).await?;
    let mut headers = response.take_headers();
    hop::remove_hop_by_hop(&mut headers);
    Ok(ExecutorAnswer { status: response.status(), headers, body })
}

/// Whether the executor says that it did not run the request.
fn is_not_run(answer: &ExecutorAnswer) -> bool {
    let says_so = answer.headers.get(web::RUN_HEADER).is_some_and(|value| value == NOT_RUN);
    says_so && answer.status == http::StatusCode::SERVICE_UNAVAILABLE
}

fn outcome(error: &client::ClientError) -> router::Outcome {
    match (error.sent, error.fault) {
        (client::Sent::Nothing, _) => router::Outcome::NothingSent,
        (client::Sent::Some, client::ClientFault::Body(_)) => router::Outcome::CutShort,
        (client::Sent::Some, _) => router::Outcome::SentNoAnswer,
    }
}
