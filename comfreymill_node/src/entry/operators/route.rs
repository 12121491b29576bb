use std::str::FromStr;

use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;

use crate::protocol;
use crate::web;

/// Parsed request of an operator.
#[derive(Debug)]
pub(super) enum Route {
    /// Liveness check.
    Health,
    /// Readiness check: whether this entry can serve callers.
    Ready,
    /// Metrics in the Prometheus text format.
    Metrics,
    /// Stops the process gracefully.
    Drain,
    /// Decisions on the latest requests, or on one.
    Decisions(Option<u64>),
    /// Query or change to forward to the leader.
    Leader(protocol::Operation),
}

impl Route {
    /// Returns whether the route is served without a token.
    pub(super) fn is_public(&self) -> bool {
        matches!(self, Self::Health | Self::Ready)
    }

    /// Parses the method, path, headers and body of a request.
    pub(super) fn read(head: &http::request::Parts, body: &[u8]) -> Result<Self, error::Error> {
        let path: Vec<&str> = head.uri.path().split('/').skip(1).collect();
        let is_post = head.method == http::Method::POST;
        let is_get = head.method == http::Method::GET;
        match (path.as_slice(), is_get, is_post) {
            (["healthz"], true, _) => Ok(Self::Health),
            (["readyz"], true, _) => Ok(Self::Ready),
            (["metrics"], true, _) => Ok(Self::Metrics),
            (["v1", "drain"], _, true) => Ok(Self::Drain),
            (["v1", "requests"], true, _) => Ok(Self::Decisions(None)),
            (["v1", "requests", number], true, _) => {
                let number = number.parse().map_err(|_| {
                    bad_request("request", "the request number in the path is not a number")
                })?;
                Ok(Self::Decisions(Some(number)))
            }
            (["v1", "status"], true, _) => Ok(Self::Leader(protocol::Operation::Status)),
            (["v1", "env", name, rest @ ..], ..) => environment(head, body, name, rest),
            (["v1", "jobs", rest @ ..], ..) => jobs(head, body, rest),
            (["v1", "tasks", task, "release"], _, true) => {
                Ok(Self::Leader(protocol::Operation::ReleaseTask(parse(task, "task")?)))
            }
            (["v1", "voters", voter, change], _, true) => {
                let voter = parse(voter, "voter")?;
                Ok(Self::Leader(protocol::Operation::ChangeVoter {
                    voter,
                    change: change.parse()?,
                }))
            }
            (["v1", "explain", task], true, _) => {
                Ok(Self::Leader(protocol::Operation::Explain(parse(task, "task")?)))
            }
            _ => Err(not_found(head)),
        }
    }
}

fn environment(
    head: &http::request::Parts,
    body: &[u8],
    name: &str,
    rest: &[&str],
) -> Result<Route, error::Error> {
    let environment: id::EnvironmentName = parse(name, "environment")?;
    let is_post = head.method == http::Method::POST;
    let operation = match (rest, is_post) {
        (["submit"], true) => submit(head, body, environment)?,
        (["promote"], true) => promote(head, body, environment)?,
        (["status"], false) => protocol::Operation::EnvironmentStatus { environment },
        ([], false) => protocol::Operation::GetDocument { environment, stage: stage(head)? },
        _ => return Err(not_found(head)),
    };
    Ok(Route::Leader(operation))
}

fn submit(
    head: &http::request::Parts,
    body: &[u8],
    environment: id::EnvironmentName,
) -> Result<protocol::Operation, error::Error> {
    let text = String::from_utf8(body.to_vec())
        .map_err(|_| bad_request("body", "the document is not valid UTF-8"))?;
    let replaces = web::header(&head.headers, &web::REPLACES_HEADER)?;
    Ok(protocol::Operation::SubmitDocument {
        operation: operation_id(head)?,
        environment,
        replaces: replaces.ok_or_else(|| {
            bad_request("replaces", "the header with the replaced version is missing")
        })?,
        text,
    })
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Promotion {
    digest: id::Digest,
}

fn promote(
    head: &http::request::Parts,
    body: &[u8],
    environment: id::EnvironmentName,
) -> Result<protocol::Operation, error::Error> {
    let promotion: Promotion = from_json(body)?;
    Ok(protocol::Operation::PromoteDocument {
        operation: operation_id(head)?,
        environment,
        digest: promotion.digest,
    })
}

fn jobs(head: &http::request::Parts, body: &[u8], rest: &[&str]) -> Result<Route, error::Error> {
    let is_post = head.method == http::Method::POST;
    let operation = match (rest, is_post) {
        ([], true) => {
            let key = web::header(&head.headers, &web::KEY_HEADER)?;
            let message = "the job needs an idempotency key, so that a resend is detected";
            protocol::Operation::SubmitJob {
                key: key.ok_or_else(|| bad_request(web::KEY_HEADER.as_str(), message))?,
                spec: from_json(body)?,
            }
        }
        ([], false) => protocol::Operation::ListJobs,
        ([job], false) => protocol::Operation::GetJob(parse(job, "job")?),
        ([job, "cancel"], true) => protocol::Operation::CancelJob(parse(job, "job")?),
        _ => return Err(not_found(head)),
    };
    Ok(Route::Leader(operation))
}

fn operation_id(head: &http::request::Parts) -> Result<id::OperationId, error::Error> {
    let id = web::header(&head.headers, &web::OPERATION_HEADER)?;
    let message = "the change needs an operation id, so that a resend is detected";
    id.ok_or_else(|| bad_request(web::OPERATION_HEADER.as_str(), message))
}

fn stage(head: &http::request::Parts) -> Result<document::Stage, error::Error> {
    match head.uri.query() {
        None => Ok(document::Stage::Production),
        Some(query) => {
            let text = query
                .strip_prefix("stage=")
                .ok_or_else(|| bad_request("query", "the only supported parameter is `stage=`"))?;
            parse(text, "stage")
        }
    }
}

fn parse<T>(text: &str, field: &str) -> Result<T, error::Error>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| bad_request(field, &error.to_string()))
}

fn from_json<T>(body: &[u8]) -> Result<T, error::Error>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| bad_request("body", &error.to_string()))
}

fn bad_request(field: &str, message: &str) -> error::Error {
    error::Error::new(error::ErrorKind::BadRequest, message).field(field)
}

fn not_found(head: &http::request::Parts) -> error::Error {
    let message = format!("no route matches {} {}", head.method, head.uri.path());
    error::Error::new(error::ErrorKind::NotFound, message).field("path")
}
