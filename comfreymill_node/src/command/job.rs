use std::fs;

use comfreymill_ledger::job as ledger_job;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::error::ErrorKind;
use comfreymill_types::id;

use super::client::Client;
use super::flags::{Options, job};
use super::request::Request;
use super::{Output, render};
use crate::random;

const KEY_BYTES: usize = 16;

/// Runs a command on jobs.
pub(super) fn execute(verb: job::JobCmd, options: &Options) -> Output {
    let request = match verb {
        job::JobCmd::Submit(flags) => submit(flags)?,
        job::JobCmd::Status(flags) => Request::get(format!("/v1/jobs/{}", flags.id)),
        job::JobCmd::List(_) => Request::get("/v1/jobs"),
        job::JobCmd::Release(flags) => Request::post(format!("/v1/tasks/{}/release", flags.id)),
        job::JobCmd::Cancel(flags) => Request::post(format!("/v1/jobs/{}/cancel", flags.id)),
    };
    let body = Client::new(options)?.call(&request)?;
    render::answer(&body, options.output)
}

fn submit(flags: job::Submit) -> Result<Request, error::Error> {
    let key = match flags.key {
        Some(key) => key,
        None => random_key()?,
    };
    let payload = match &flags.payload {
        Some(file) => fs::read_to_string(file).map_err(|error| {
            let message = format!("`{}` cannot be read: {error}", file.display());
            error::Error::new(ErrorKind::BadRequest, message)
        })?,
        None => String::new(),
    };
    let spec = ledger_job::JobSpec {
        environment: flags.environment,
        stage: flags.stage.unwrap_or(document::Stage::Production),
        team: flags.team,
        class: flags.class,
        tasks: flags.tasks.unwrap_or(1),
        size: None,
        payload,
    };
    let body = serde_json::to_vec(&spec)
        .map_err(|error| error::Error::new(ErrorKind::Internal, error.to_string()))?;
    Ok(Request::post("/v1/jobs")
        .header("idempotency-key", key.to_string())
        .operation(format!("--key {key}"))
        .body(body))
}

fn random_key() -> Result<id::IdempotencyKey, error::Error> {
    let internal = |message: String| error::Error::new(ErrorKind::Internal, message);
    let text = random::hex(KEY_BYTES).map_err(|error| internal(error.to_string()))?;
    text.parse().map_err(|error: id::ParseIdError| internal(error.to_string()))
}
