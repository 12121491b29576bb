use std::fs;
use std::path;

use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::error::ErrorKind;
use comfreymill_types::id;

use super::Output;
use super::client::Client;
use super::document_view::DocumentView;
use super::flags::{Options, env};
use super::request::Request;
use super::{OutputFormat, line_diff, render};
use crate::random;

const OPERATION_BYTES: usize = 16;

/// Runs a command on environment documents.
pub(super) fn execute(verb: env::EnvCmd, options: &Options) -> Output {
    let client = Client::new(options)?;
    match verb {
        env::EnvCmd::Submit(flags) => submit(flags, &client, options.output),
        env::EnvCmd::Show(flags) => show(&flags, &client, options.output),
        env::EnvCmd::Diff(flags) => diff(&flags, &client, options.output),
        env::EnvCmd::Promote(flags) => promote(flags, &client, options.output),
        env::EnvCmd::Status(flags) => {
            let request = Request::get(format!("/v1/env/{}/status", flags.name));
            render::answer(&client.call(&request)?, options.output)
        }
    }
}

fn submit(flags: env::Submit, client: &Client, output: OutputFormat) -> Output {
    let text = read_file(&flags.file)?;
    let environment = document::Environment::parse(&text).map_err(|problems| {
        let lines: Vec<_> = problems.iter().map(|problem| problem.in_file(&flags.file)).collect();
        let message = format!("the document cannot be used:\n{}", lines.join("\n"));
        error::Error::new(ErrorKind::InvalidDocument, message)
    })?;
    let operation = operation_or_random(flags.operation)?;
    let request = Request::post(format!("/v1/env/{}/submit", environment.name))
        .header("operation-id", operation.to_string())
        .header("replaces", flags.replaces.unwrap_or(id::Version::NONE).to_string())
        .operation(format!("--operation {operation}"))
        .body(text);
    render::answer(&client.call(&request)?, output)
}

fn show(flags: &env::Show, client: &Client, output: OutputFormat) -> Output {
    let stage = flags.stage.unwrap_or(document::Stage::Production);
    let body = client.call(&show_request(&flags.name, stage))?;
    match output {
        OutputFormat::Text => Ok(DocumentView::read(&body)?.text),
        OutputFormat::Json => render::answer(&body, output),
    }
}

fn diff(flags: &env::Diff, client: &Client, output: OutputFormat) -> Output {
    let production = fetch_text(&flags.name, document::Stage::Production, client)?;
    let (other, name) = match &flags.file {
        Some(file) => (read_text(file)?, file.display().to_string()),
        None => {
            let trial = fetch_text(&flags.name, document::Stage::Trial, client)?;
            (trial, document::Stage::Trial.to_string())
        }
    };
    let lines = line_diff(&production, &other);
    match output {
        OutputFormat::Json => {
            render::json(&serde_json::json!({ "equal": lines.is_empty(), "diff": lines }))
        }
        OutputFormat::Text if lines.is_empty() => Ok(format!("{name} and production are equal\n")),
        OutputFormat::Text => Ok(format!("--- production\n+++ {name}\n{lines}")),
    }
}

fn promote(flags: env::Promote, client: &Client, output: OutputFormat) -> Output {
    let operation = operation_or_random(flags.operation)?;
    let body = serde_json::json!({ "digest": flags.digest });
    let request = Request::post(format!("/v1/env/{}/promote", flags.name))
        .header("operation-id", operation.to_string())
        .operation(format!("--operation {operation}"))
        .body(body.to_string());
    render::answer(&client.call(&request)?, output)
}

fn show_request(name: &id::EnvironmentName, stage: document::Stage) -> Request {
    Request::get(format!("/v1/env/{name}?stage={stage}"))
}

/// Returns the text in force, or an empty text if there is none yet.
fn fetch_text(
    name: &id::EnvironmentName,
    stage: document::Stage,
    client: &Client,
) -> Result<String, error::Error> {
    match client.call(&show_request(name, stage)) {
        Ok(body) => DocumentView::read(&body).map(|view| view.text),
        Err(error) if error.get_kind() == ErrorKind::NotFound => Ok(String::new()),
        Err(error) => Err(error),
    }
}

fn operation_or_random(given: Option<id::OperationId>) -> Result<id::OperationId, error::Error> {
    if let Some(operation) = given {
        return Ok(operation);
    }
    let internal = |message: String| error::Error::new(ErrorKind::Internal, message);
    let text = random::hex(OPERATION_BYTES).map_err(|error| internal(error.to_string()))?;
    text.parse().map_err(|error: id::ParseIdError| internal(error.to_string()))
}

fn read_file(file: &path::Path) -> Result<Vec<u8>, error::Error> {
    fs::read(file).map_err(|error| {
        let message = format!("`{}` cannot be read: {error}", file.display());
        error::Error::new(ErrorKind::BadRequest, message)
    })
}

fn read_text(file: &path::Path) -> Result<String, error::Error> {
    String::from_utf8(read_file(file)?).map_err(|_| {
        let message = format!("`{}` is not UTF-8", file.display());
        error::Error::new(ErrorKind::BadRequest, message)
    })
}
