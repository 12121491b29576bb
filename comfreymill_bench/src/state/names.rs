use std::fmt;
use std::str;

use comfreymill_types::document;
use comfreymill_types::id;

/// Parses a name or other id that is known to be valid.
pub(super) fn name<T>(text: &str) -> T
where
    T: str::FromStr,
    T::Err: fmt::Debug,
{
    text.parse().expect("the name is valid")
}

pub(super) fn environment() -> id::EnvironmentName {
    name("derwent-hull")
}

pub(super) fn worker(number: usize) -> id::WorkerName {
    name(&format!("tas-south-worker-{number:04}"))
}

pub(super) fn executor(number: usize) -> id::ExecutorName {
    name(&format!("hull-register-{number:04}"))
}

pub(super) fn entry(number: usize) -> id::EntryName {
    name(&format!("entry-{number}"))
}

pub(super) fn team(number: usize) -> String {
    format!("team-{number:02}")
}

/// Returns a document with `teams` teams, a prompt class and a batch class.
pub(super) fn document(teams: usize, version: u64) -> String {
    use std::fmt::Write as _;

    let mut text = format!("name: derwent-hull\nversion: {version}\nteams:\n");
    for number in 0..teams.max(1) {
        let team = team(number);
        let quota = "{ cores: 256, memory: 960GB, accelerators: 16 }";
        writeln!(text, "  - {{ name: {team}, quota: {quota}, share: 1 }}")
            .expect("writing to a string cannot fail");
    }
    text.push_str(CLASSES);
    debug_assert!(document::Environment::parse(text.as_bytes()).is_ok(), "the document is valid");
    text
}

const CLASSES: &str = r"classes:
  - name: name-search
    kind: { prompt: { service: hull-register, deadline: 800ms } }
  - name: certificate-batch
    kind: { batch: { size: { cores: 1, memory: 4GB, accelerators: 0 } } }
";
