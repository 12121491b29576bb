use std::str::FromStr;

use comfreymill_batch::event;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

const DOCUMENT: &str = "
name: register
version: 1
weights: {tail_latency: 4.0, throughput: 1.0, evictions: 1.0}
teams:
  - {name: issue, share: 2}
  - {name: watchers}
  - {name: small, quota: {cores: 4, memory: 8GB}}
classes:
  - name: check
    kind: {batch: {size: {cores: 2, memory: 4GB}, run_time: 10s}}
  - name: certificate
    unrepeatable: true
    kind: {batch: {size: {cores: 1, memory: 2GB}, run_time: 10s}}
  - name: rush
    priority: urgent
    kind: {batch: {size: {cores: 2, memory: 4GB}}}
  - name: idle
    priority: low
    kind: {batch: {size: {cores: 1, memory: 1GB}}}
  - name: render
    kind: {batch: {size: {cores: 1, memory: 1GB, accelerators: 1}}}
  - name: local
    runs_in: {zones: [hobart-a]}
    kind: {batch: {size: {cores: 1, memory: 1GB}}}
  - name: watch
    kind: {standing: {size: {cores: 1, memory: 1GB}}}
  - name: search
    kind: {prompt: {service: search, deadline: 1s}}
";

/// Returns a document with one class of each kind.
pub(crate) fn environment() -> document::Environment {
    document::Environment::parse(DOCUMENT.as_bytes()).expect("the document is valid")
}

/// Parses a name.
pub(crate) fn name<N>(text: &str) -> N
where
    N: FromStr,
    N::Err: std::fmt::Debug,
{
    text.parse().expect("the name is valid")
}

/// Returns resources of whole cores, gigabytes and accelerators.
pub(crate) fn resources(cores: u64, gigabytes: u64, accelerators: u32) -> size::Resources {
    size::Resources::new(cores * 1_000, gigabytes * 1_000_000_000, accelerators)
}

/// Returns a new task of `class`, submitted by `team`.
pub(crate) fn task_view(job: u64, team: &str, class: &str) -> event::TaskView {
    let task = id::TaskId::new(id::JobId::new(job), 0);
    event::TaskView::new(task, document::Stage::Production, name(team), name(class))
}
