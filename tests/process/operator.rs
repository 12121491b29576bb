use std::fs;
use std::path;
use std::process;

use comfreymill_bench::cluster::Cluster;

use crate::command_line::binary;
use crate::support::Fixture;

/// File with a token, removed on drop.
struct TokenFile(path::PathBuf);

impl TokenFile {
    fn new(name: &str, token: &str) -> Self {
        let name = format!("comfreymill-{name}-{}.token", process::id());
        let file = std::env::temp_dir().join(name);
        fs::write(&file, token).expect("written");
        Self(file)
    }
}

impl Drop for TokenFile {
    fn drop(&mut self) {
        // The file may already be removed.
        let _ = fs::remove_file(&self.0);
    }
}

/// Runs a command of the client at the first entry.
fn run(fixture: &Fixture, token: &TokenFile, args: &[&str]) -> binary::Outcome {
    let address = fixture.cluster.get_entry(0).operators.to_string();
    let file = token.0.to_str().expect("UTF-8");
    let options = ["--operators", &address, "--token-file", file, "--timeout", "60s"];
    binary::run(&[args, &options].concat())
}

/// Returns a field of the JSON that a command printed.
fn field(outcome: &binary::Outcome, name: &str) -> serde_json::Value {
    assert_eq!(outcome.code, 0, "{outcome:?}");
    let value: serde_json::Value = serde_json::from_str(&outcome.stdout).expect("JSON");
    value[name].clone()
}

#[test]
fn a_document_goes_from_trial_to_production_by_commands() {
    let fixture = Fixture::start(1, 1);
    let token = TokenFile::new("document", Cluster::TOKEN);
    let submit = ["env", "submit", "environment-trust.yaml", "--operation", "op-1"];
    let first = run(&fixture, &token, &[&submit[..], &["--output", "json"]].concat());
    let digest = field(&first, "digest");
    let again = run(&fixture, &token, &[&submit[..], &["--output", "json"]].concat());
    assert_eq!(field(&again, "digest"), digest, "a resend gets the first answer");

    let other = run(&fixture, &token, &["env", "submit", "environment-trust.yaml"]);
    assert_eq!(other.code, 6, "{other:?}");
    assert!(other.stderr.starts_with("comfreymill: conflict: "), "{other:?}");

    let diff = run(&fixture, &token, &["env", "diff", "derwent-hull"]);
    assert!(diff.stdout.contains("\n+ name: derwent-hull\n"), "{diff:?}");
    let digest = digest.as_str().expect("a digest");
    let promoted = run(&fixture, &token, &["env", "promote", "derwent-hull", digest]);
    assert_eq!(promoted.code, 0, "{promoted:?}");
    let diff = run(&fixture, &token, &["env", "diff", "derwent-hull"]);
    assert_eq!(diff.stdout, "trial and production are equal\n");

    let shown = run(&fixture, &token, &["env", "show", "derwent-hull"]);
    let file = fs::read_to_string(binary::samples().join("environment-trust.yaml"));
    assert_eq!(shown.stdout, file.expect("read"), "the document is promoted unchanged");
}

#[test]
fn a_job_is_submitted_listed_and_cancelled_by_commands() {
    let fixture = Fixture::start(1, 1);
    fixture.promote_document();
    let token = TokenFile::new("job", Cluster::TOKEN);
    let submit = [
        "job",
        "submit",
        "--environment",
        "derwent-hull",
        "--team",
        "registry",
        "--class",
        "certificate-batch",
        "--tasks",
        "2",
        "--key",
        "hulls-7",
        "--output",
        "json",
    ];
    let job = field(&run(&fixture, &token, &submit), "job");
    assert_eq!(field(&run(&fixture, &token, &submit), "job"), job, "a resend finds its job");
    let job = job.as_str().expect("an id");
    let list = run(&fixture, &token, &["job", "list"]);
    assert!(list.stdout.contains(job) && list.stdout.contains("certificate-batch"), "{list:?}");
    let cancelled = run(&fixture, &token, &["job", "cancel", job]);
    assert_eq!(cancelled.code, 0, "{cancelled:?}");
    fixture.wait("a cancelled job", || {
        let status = run(&fixture, &token, &["job", "status", job, "--output", "json"]);
        field(&status, "state") == "cancelled"
    });
    let missing = run(&fixture, &token, &["job", "status", "j999"]);
    assert_eq!(missing.code, 5, "{missing:?}");
}

#[test]
fn a_wrong_token_is_refused_and_changes_nothing() {
    let fixture = Fixture::start(1, 1);
    let token = TokenFile::new("right", Cluster::TOKEN);
    let wrong = TokenFile::new("wrong", "guess");
    fixture.wait_for_leader();
    let submit = ["env", "submit", "environment-trust.yaml"];
    let refused = run(&fixture, &wrong, &submit);
    assert_eq!(refused.code, 3, "{refused:?}");
    assert_eq!(refused.stderr.lines().count(), 1, "{refused:?}");
    assert!(refused.stderr.starts_with("comfreymill: unauthorized: "), "{refused:?}");
    let shown = run(&fixture, &token, &["env", "show", "derwent-hull", "--stage", "trial"]);
    assert_eq!(shown.code, 5, "{shown:?}");
}

#[test]
fn drain_ends_the_entry_with_success() {
    let mut fixture = Fixture::start(1, 1);
    fixture.promote_document();
    let token = TokenFile::new("drain", Cluster::TOKEN);
    let drained = run(&fixture, &token, &["drain"]);
    assert_eq!(drained.code, 0, "{drained:?}");
    let status = fixture.cluster.entries[0].wait().expect("a status");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

#[test]
fn a_second_process_with_the_same_settings_names_the_address_in_use() {
    let mut fixture = Fixture::start(1, 1);
    fixture.promote_document();
    fixture.cluster.entries.push(fixture.cluster.entries[0].unstarted_copy());
    fixture.cluster.entries[1].start().expect("started");
    let status = fixture.cluster.entries[1].wait().expect("a status").expect("the process ran");
    assert_eq!(status.code(), Some(2));
    let log = fixture.cluster.entries[1].get_log();
    assert!(log.contains("listeners.callers: `127."), "{log}");
    assert!(log.contains("is in use"), "{log}");
}
