use bytes::Bytes;
use comfreymill_ledger::document as ledger_document;
use comfreymill_ledger::ledger;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::to_json;
use crate::control::leader::{EntryInfo, Leader};

#[derive(serde::Serialize)]
struct DocumentView<'a> {
    name: &'a id::EnvironmentName,
    stage: document::Stage,
    version: id::Version,
    digest: id::Digest,
    revision: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
}

#[derive(serde::Serialize)]
struct StatusView<'a> {
    name: &'a id::EnvironmentName,
    trial: Option<DocumentView<'a>>,
    production: Option<DocumentView<'a>>,
    revision: u64,
    nodes: Vec<NodeView<'a>>,
    in_force: usize,
    lacking: usize,
}

#[derive(serde::Serialize)]
struct NodeView<'a> {
    name: &'a id::EntryName,
    zone: &'a id::ZoneName,
    revision: u64,
    is_in_force: bool,
    is_draining: bool,
    heard_ms_ago: u128,
    /// Time since the newest revision was accepted, if it is not in force on this entry.
    lacking_for_ms: Option<u64>,
}

/// Returns a document with its text.
pub(in crate::control) fn document(
    ledger: &ledger::Ledger,
    name: &id::EnvironmentName,
    stage: document::Stage,
) -> Result<Bytes, error::Error> {
    let state = ledger.get_environments().get(name);
    let record = state.and_then(|state| state.get(stage)).ok_or_else(|| {
        let message = format!("there is no document of {name} in {stage}");
        error::Error::new(error::ErrorKind::NotFound, message).field("environment")
    })?;
    Ok(to_json(&DocumentView { text: Some(&record.text), ..document_view(name, stage, record) }))
}

/// Returns the documents of an environment and the entries on which they are in force.
pub(in crate::control) fn environment_status(
    ledger: &ledger::Ledger,
    leader: Option<&Leader>,
    name: &id::EnvironmentName,
    now: time::Monotonic,
) -> Result<Bytes, error::Error> {
    let state = ledger.get_environments().get(name).ok_or_else(|| {
        let message = format!("there is no environment {name}");
        error::Error::new(error::ErrorKind::NotFound, message).field("environment")
    })?;
    let records = [&state.trial, &state.production].into_iter().flatten();
    let newest = records.max_by_key(|record| record.revision);
    let (revision, at) =
        newest.map_or((0, ledger.get_now()), |record| (record.revision, record.at));
    let group_now = leader.map_or(ledger.get_now(), |leader| leader.group_time(now));
    let lacking_ms = group_now.as_millis().saturating_sub(at.as_millis());
    let entries = leader.into_iter().flat_map(Leader::get_entries);
    let nodes: Vec<_> =
        entries.map(|(name, info)| node_view(name, info, revision, lacking_ms, now)).collect();
    let in_force = nodes.iter().filter(|node| node.is_in_force).count();
    Ok(to_json(&StatusView {
        name,
        trial: state
            .trial
            .as_ref()
            .map(|record| document_view(name, document::Stage::Trial, record)),
        production: state
            .production
            .as_ref()
            .map(|record| document_view(name, document::Stage::Production, record)),
        revision,
        in_force,
        lacking: nodes.len() - in_force,
        nodes,
    }))
}

fn document_view<'a>(
    name: &'a id::EnvironmentName,
    stage: document::Stage,
    record: &ledger_document::DocumentRecord,
) -> DocumentView<'a> {
    let (version, digest, revision) = (record.version, record.digest, record.revision);
    DocumentView { name, stage, version, digest, revision, text: None }
}

fn node_view<'a>(
    name: &'a id::EntryName,
    info: &'a EntryInfo,
    revision: u64,
    lacking_ms: u64,
    now: time::Monotonic,
) -> NodeView<'a> {
    let is_in_force = info.revision >= revision;
    NodeView {
        name,
        zone: &info.zone,
        revision: info.revision,
        is_in_force,
        is_draining: info.is_draining,
        heard_ms_ago: now.since(info.last_heard).as_millis(),
        lacking_for_ms: (!is_in_force).then_some(lacking_ms),
    }
}
