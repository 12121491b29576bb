use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::server;
use comfreymill_platform as platform;
use http::{HeaderValue, Method, StatusCode, header};

use crate::jobcall::{Call, CallError, Client, Reply};
use crate::metering::observe;

/// Maximum time for a call to the leader, long enough for the election of a new leader.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum part of the caller's deadline that is reserved for the transfer of the answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Share of the caller's deadline that is reserved if that is less.
const MARGIN_SHARE: u32 = 3;
/// Time below which a job cannot be stored: two trips between regions and a disk sync.
const MIN_SUBMIT_TIME: Duration = Duration::from_millis(60);
/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 1 << 20;
/// Default value of `Retry-After` for a request that was not handled.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answer to a caller, and its outcome label in logs and metrics.
struct Answer {
    status: StatusCode,
    body: Bytes,
    outcome: &'static str,
    /// When the caller should send a request again that was not handled.
    retry_after: Duration,
}

impl Answer {
    fn new(status: StatusCode, body: Bytes, outcome: &'static str) -> Self {
        Self { status, body, outcome, retry_after: RETRY_AFTER }
    }
}

/// Answers one request of a caller.
///
/// # Errors
///
/// The response cannot be sent, or the request body is malformed.
pub(super) async fn serve(
    leader: &Client,
    mut req: server::Request<'_>,
) -> Result<(), server::ServerError> {
    let method = req.method().clone();
    let host = host(&req);
    let path = req.uri().path().to_owned();
    let timeout = platform::caller_timeout(req.headers()).unwrap_or(MAX_TIMEOUT);
    let timeout = (timeout - ANSWER_MARGIN.min(timeout / MARGIN_SHARE)).min(MAX_TIMEOUT);
    let body = req.collect(MAX_BODY_BYTES).await?;
    let started_at = std::time::Instant::now();
    let answer = match to_call(&method, &host, &path, &body) {
        // The caller is gone before the job could be stored, so it is not handed on.
        Ok(Call::Submit { .. }) if timeout < MIN_SUBMIT_TIME => {
            Answer::new(StatusCode::SERVICE_UNAVAILABLE, Bytes::new(), "too late")
        }
        Ok(call) => to_answer(leader.call(&call, timeout).await),
        Err(answer) => answer,
    };
    observe::job_request(method_label(&method), answer.outcome, started_at.elapsed());
    let took_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
    log::info!(target: "requests", method = method.as_str(), host = host.as_str(), path = path.as_str(), status = answer.status.as_u16(), outcome = answer.outcome, took_ms; "a request is answered");
    let mut headers = http::HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if answer.status == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = answer.retry_after.as_secs_f64().ceil() as u64;
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    req.respond(answer.status, &headers, answer.body).await
}

fn host(req: &server::Request<'_>) -> String {
    let from_header = req.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let host = from_header.or_else(|| req.uri().host()).unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name).to_owned()
}

/// Returns the metric label of a method; all unknown methods share one, so that callers cannot
/// create labels.
fn method_label(method: &Method) -> &'static str {
    match *method {
        Method::POST => "POST",
        Method::GET => "GET",
        Method::DELETE => "DELETE",
        _ => "other",
    }
}

/// Translates a request into a call to the leader.
fn to_call(method: &Method, host: &str, path: &str, body: &[u8]) -> Result<Call, Answer> {
    let (host, path) = (host.to_owned(), path.to_owned());
    match *method {
        Method::POST => match platform::decode_job(body) {
            Ok(spec) => Ok(Call::Submit { host, path, spec: Box::new(spec) }),
            Err(error) => {
                Err(Answer::new(StatusCode::BAD_REQUEST, error.to_string().into(), "malformed"))
            }
        },
        Method::GET => Ok(Call::Show { host, path }),
        Method::DELETE => Ok(Call::Cancel { host, path }),
        _ => Err(Answer::new(StatusCode::METHOD_NOT_ALLOWED, Bytes::new(), "method")),
    }
}

fn to_answer(result: Result<Reply, CallError>) -> Answer {
    let (status, body, outcome) = match result {
        Ok(Reply::Done) => (StatusCode::OK, Bytes::from_static(b"{}"), "done"),
        Ok(Reply::Job(phase)) => {
            (StatusCode::OK, platform::encode_state(phase.as_str()), phase.as_str())
        }
        Ok(Reply::Waiting(waiting)) => {
            let waiting = usize::try_from(waiting).unwrap_or(usize::MAX);
            (StatusCode::OK, platform::encode_waiting(waiting), "waiting")
        }
        Ok(Reply::NoSuchJob) => (StatusCode::GONE, Bytes::new(), "no such job"),
        Ok(Reply::NoSuchQueue) => (StatusCode::NOT_FOUND, Bytes::new(), "no such queue"),
        Ok(Reply::Malformed(reason)) => (StatusCode::BAD_REQUEST, reason.into(), "malformed"),
        Ok(Reply::NoRoutes) => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new(), "no routes"),
        Ok(reply) => {
            log::warn!(target: "requests", reply:? = reply; "a call got an unexpected reply");
            (StatusCode::GATEWAY_TIMEOUT, Bytes::new(), "unexpected")
        }
        // The leader may have accepted the call, so it must not be reported as refused.
        Err(CallError { was_sent: true, .. }) => {
            (StatusCode::GATEWAY_TIMEOUT, Bytes::new(), "unknown")
        }
        Err(CallError { was_sent: false, retry_after }) => {
            let outcome = if retry_after.is_some() { "refused" } else { "no leader" };
            let answer = Answer::new(StatusCode::SERVICE_UNAVAILABLE, Bytes::new(), outcome);
            return Answer { retry_after: retry_after.unwrap_or(RETRY_AFTER), ..answer };
        }
    };
    Answer::new(status, body, outcome)
}
