use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::server;
use comfreymill_jobs::worker;
use comfreymill_platform as platform;
use http::StatusCode;

use super::evacuations::{self, Change};
use crate::jobcall::{Call, CallError, Client, Reply};
use crate::scheduler::core::{Input, ReplyTo};

/// Maximum wait for the leader's answer to a worker's request; workers give up after a second.
const WORKER_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum wait for the leader's answer to an operator's request.
const OPERATOR_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum wait for a reply from the core of this process.
const CORE_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum size of the body of an announcement or of routes.
const MAX_BODY_BYTES: u64 = 4 << 20;

/// Channels through which the listener's requests are handled.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct Context {
    /// Input queue of this process's core.
    pub(in crate::scheduler) inputs: flume::Sender<Input>,
    /// Client for calls to the leader, used when this process is not the leader.
    pub(in crate::scheduler) leader: Client,
}

/// Answers one request of a worker or an operator.
///
/// # Errors
///
/// The response cannot be sent, or the request body is malformed.
pub(in crate::scheduler) async fn serve(
    cx: &Context,
    mut req: server::Request<'_>,
) -> Result<(), server::ServerError> {
    if evacuations::is_own_path(req.uri().path()) {
        return evacuations::serve_own(cx, req).await;
    }
    let request = platform::control_request(req.method(), req.uri().path());
    let mut headers = http::HeaderMap::new();
    let (status, body) = match request {
        platform::ControlRequest::Announce { name } => {
            let body = req.collect(MAX_BODY_BYTES).await?;
            announce(cx, &name, &body).await
        }
        platform::ControlRequest::Depart { name } => {
            let call = Call::Depart(worker::Departure { name });
            response(cx.call(call, WORKER_TIMEOUT).await)
        }
        platform::ControlRequest::PutRoutes => {
            let body = req.collect(MAX_BODY_BYTES).await?;
            put_routes(cx, body).await
        }
        platform::ControlRequest::GetRoutes => {
            response(cx.call(Call::GetRoutes, OPERATOR_TIMEOUT).await)
        }
        platform::ControlRequest::Evacuate { zone } => {
            let operator = evacuations::operator(&req);
            response(evacuations::order(cx, &zone, Change::Evacuate, operator).await)
        }
        platform::ControlRequest::WithdrawEvacuation { zone } => {
            let operator = evacuations::operator(&req);
            response(evacuations::order(cx, &zone, Change::Withdraw, operator).await)
        }
        platform::ControlRequest::WrongMethod { allowed } => {
            headers.insert(http::header::ALLOW, http::HeaderValue::from_static(allowed));
            (StatusCode::METHOD_NOT_ALLOWED, format!("the path has the methods {allowed}").into())
        }
        platform::ControlRequest::Unknown => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    let json = http::HeaderValue::from_static("application/json");
    headers.insert(http::header::CONTENT_TYPE, json);
    req.respond(status, &headers, body).await
}

async fn announce(cx: &Context, name: &str, body: &[u8]) -> (StatusCode, Bytes) {
    match platform::decode_announcement(name, body) {
        Ok(announcement) => {
            let call = Call::Announce(Box::new(announcement));
            response(cx.call(call, WORKER_TIMEOUT).await)
        }
        Err(error) => {
            log::info!(target: "workers", worker = name, reason:% = error; "a malformed announcement is rejected");
            (StatusCode::BAD_REQUEST, error.to_string().into())
        }
    }
}

async fn put_routes(cx: &Context, document: Bytes) -> (StatusCode, Bytes) {
    match platform::decode_routes(&document) {
        Ok(table) => {
            let call = Call::PutRoutes { table: Box::new(table), document };
            response(cx.call(call, OPERATOR_TIMEOUT).await)
        }
        Err(error) => {
            log::info!(target: "routes", reason:% = error; "invalid routes are rejected");
            (StatusCode::BAD_REQUEST, error.to_string().into())
        }
    }
}

fn response(result: Result<Reply, CallError>) -> (StatusCode, Bytes) {
    match result {
        Ok(Reply::Done) => (StatusCode::OK, Bytes::from_static(b"{}")),
        Ok(Reply::Heard(next)) => (StatusCode::OK, platform::encode_acknowledgement(next)),
        Ok(Reply::Routes(document)) => (StatusCode::OK, document),
        Ok(Reply::NoRoutes) => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        Ok(Reply::Malformed(reason)) => (StatusCode::BAD_REQUEST, reason.into()),
        Ok(Reply::NoSuchZone(reason)) => (StatusCode::NOT_FOUND, reason.into()),
        // The operator sends the order again, with the state that the other order has led to.
        Ok(Reply::Superseded) => (
            StatusCode::SERVICE_UNAVAILABLE,
            Bytes::from_static(b"another order was committed first"),
        ),
        Ok(reply) => {
            log::warn!(target: "control", reply:? = reply; "a call got an unexpected reply");
            (StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
        }
        Err(_) => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    }
}

impl Context {
    /// Sends a call to this process's core, or to the leader if that is another process.
    pub(super) async fn call(&self, call: Call, timeout: Duration) -> Result<Reply, CallError> {
        let (reply, rx) = flume::bounded(1);
        let input = Input::Call { call: call.clone(), reply: ReplyTo::Local(reply) };
        if self.inputs.send(input).is_err() {
            return Err(CallError { was_sent: false, retry_after: None });
        }
        match monoio::time::timeout(CORE_TIMEOUT.min(timeout), rx.recv_async()).await {
            Ok(Ok(Reply::NotLeader | Reply::Unknown)) => {}
            Ok(Ok(reply)) => return Ok(reply),
            _ => return Err(CallError { was_sent: true, retry_after: None }),
        }
        self.leader.call(&call, timeout).await
    }
}
