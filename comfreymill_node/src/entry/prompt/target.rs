use std::time::Duration;

use comfreymill_ledger::request;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use crate::protocol;
use crate::web;

const PREFIX: &str = "/v1/";

/// Target of a caller's request, parsed from the path `/v1/ENVIRONMENT/CLASS/REST` and the headers.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) stage_key: protocol::EnvironmentStage,
    pub(super) class: id::ClassName,
    pub(super) team: Option<id::TeamName>,
    pub(super) key: Option<id::IdempotencyKey>,
    pub(super) time_left: Option<Duration>,
    /// Path and query to send to the executor.
    pub(super) executor_uri: http::Uri,
}

impl Target {
    /// Returns the idempotency key with its scope, if the request has one.
    pub(super) fn request_key(&self) -> Option<request::RequestKey> {
        Some(request::RequestKey {
            environment: self.stage_key.environment.clone(),
            stage: self.stage_key.stage,
            team: self.team.clone(),
            key: self.key.clone()?,
        })
    }

    /// Parses the path and headers of a request.
    pub(super) fn read(head: &http::request::Parts) -> Result<Self, error::Error> {
        let path = head.uri.path();
        let mut segments = path.strip_prefix(PREFIX).ok_or_else(invalid_path)?.splitn(3, '/');
        let environment = parse(segments.next().unwrap_or_default(), "environment")?;
        let class = parse(segments.next().unwrap_or_default(), "class")?;
        let executor_uri =
            parse_executor_uri(segments.next().unwrap_or_default(), head.uri.query())?;
        let stage = web::header(&head.headers, &web::STAGE_HEADER)?;
        let stage = stage.unwrap_or(document::Stage::Production);
        let time_left: Option<time::Span> = web::header(&head.headers, &web::DEADLINE_HEADER)?;
        Ok(Self {
            stage_key: protocol::EnvironmentStage { environment, stage },
            class,
            team: web::header(&head.headers, &web::TEAM_HEADER)?,
            key: web::header(&head.headers, &web::KEY_HEADER)?,
            time_left: time_left.map(Duration::from),
            executor_uri,
        })
    }
}

fn invalid_path() -> error::Error {
    let message = "the path must have the form /v1/ENVIRONMENT/CLASS/REST";
    error::Error::new(error::ErrorKind::NotFound, message).field("path")
}

fn parse<T>(text: &str, field: &str) -> Result<T, error::Error>
where
    T: std::str::FromStr<Err = id::ParseIdError>,
{
    let bad_request = |error: id::ParseIdError| {
        error::Error::new(error::ErrorKind::BadRequest, error.to_string()).field(field)
    };
    text.parse().map_err(bad_request)
}

fn parse_executor_uri(path: &str, query: Option<&str>) -> Result<http::Uri, error::Error> {
    let text = match query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let bad_request = |error: http::uri::InvalidUri| {
        error::Error::new(error::ErrorKind::BadRequest, error.to_string()).field("path")
    };
    text.parse().map_err(bad_request)
}
