use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_bench::standin::{Call, Record, RecordKind};

use crate::support::Fixture;

fn ready_fixture(controls: usize, workers: usize) -> Fixture {
    let cfg = Fixture::config(controls, 2).lease("2s");
    let mut fixture = Fixture::start_with(&cfg);
    fixture.promote_document();
    for worker in 0..workers {
        fixture.add_worker(&format!("w-{worker}"));
    }
    fixture
}

/// Checks in the workers' journal that no task ran in two places at once.
fn assert_no_concurrent_runs(records: &[Record]) {
    let mut running: BTreeMap<&str, &Record> = BTreeMap::new();
    for record in records.iter().filter(|record| record.subject.starts_with('j')) {
        let task = record.subject.split('#').next().expect("a task");
        match record.kind {
            RecordKind::Began => {
                let concurrent = running.insert(task, record);
                assert_eq!(concurrent, None, "{record:?}");
            }
            _ => {
                running.remove(task);
            }
        }
    }
}

/// Drops the worker that runs a task and records all runs of this worker as stopped.
fn lose_worker_of(fixture: &mut Fixture, task: &str) {
    let began =
        |record: &Record| record.subject.starts_with(task) && record.kind == RecordKind::Began;
    let records = fixture.journal.get_records();
    let place = records.iter().rev().find(|record| began(record)).expect("a run").place.clone();
    let index = fixture.worker_names.iter().position(|name| *name == place).expect("a worker");
    fixture.worker_names.remove(index);
    drop(fixture.workers.remove(index));
    for record in records.iter().filter(|record| began(record) && record.place == place) {
        fixture.journal.note(&place, &record.subject, RecordKind::Stopped);
    }
}

#[test]
fn a_watch_goes_on_elsewhere_when_its_worker_is_lost() {
    let mut fixture = ready_fixture(1, 3);
    let job = fixture.submit_job("watch", "conflict-watch", 1, None);
    for attempt in 1..=2 {
        let subject = format!("{job}.0#{attempt}");
        fixture.wait_for_record(&subject, &RecordKind::Began);
        lose_worker_of(&mut fixture, &subject);
    }
    fixture.wait_for_record(&format!("{job}.0#3"), &RecordKind::Began);
    assert_no_concurrent_runs(&fixture.journal.get_records());
}

#[test]
fn an_unrepeatable_task_whose_worker_is_lost_is_parked_and_runs_after_its_release() {
    let mut fixture = ready_fixture(1, 2);
    let job = fixture.submit_job("certificates", "certificate-batch", 1, Some(60_000));
    let task = format!("{job}.0");
    fixture.wait_for_record(&task, &RecordKind::Began);
    // Gives the worker time to report the run before it is lost.
    std::thread::sleep(Duration::from_millis(500));
    lose_worker_of(&mut fixture, &task);
    let view = fixture.wait_for_job(&job, "parked");
    let parked =
        view["tasks"][0]["state"]["parked"]["reason"].as_str().expect("a reason").to_owned();
    assert!(parked.contains("at most once"), "{parked}");
    assert_eq!(fixture.journal.count(&task, &RecordKind::Began), 1);
    let (status, _) = fixture.operate(0, Call::post(format!("/v1/tasks/{task}/release"), ""));
    assert_eq!(status, 200);
    fixture.wait_for_record(&format!("{task}#2"), &RecordKind::Began);
}

#[test]
fn tasks_run_once_each_through_changes_of_leader() {
    let mut fixture = ready_fixture(3, 3);
    let job = fixture.submit_job("many", "certificate-batch", 12, Some(1_500));
    for _ in 0..2 {
        let leader = fixture.wait_for_leader();
        fixture.cluster.controls[leader].kill();
        fixture.wait_for_leader();
        fixture.cluster.controls[leader].start().expect("control starts again");
    }
    fixture.wait_for_job(&job, "finished");
    let records = fixture.journal.get_records();
    assert_no_concurrent_runs(&records);
    for task in 0..12 {
        let subject = format!("{job}.{task}#");
        assert_eq!(fixture.journal.count(&subject, &RecordKind::Began), 1, "{subject}");
        assert_eq!(fixture.journal.count(&subject, &RecordKind::Finished), 1, "{subject}");
    }
    assert_eq!(fixture.journal.count("overfull", &RecordKind::Failed), 0);
}

#[test]
fn a_job_that_never_fits_is_refused_with_the_reason() {
    let fixture = ready_fixture(1, 1);
    let refused = serde_json::json!({
        "environment": "derwent-hull",
        "team": "registry",
        "class": "certificate-batch",
        "size": { "cores": 17, "memory": "1GB" },
    });
    let call = Call::post("/v1/jobs", refused.to_string()).header("idempotency-key", "large");
    fixture.wait("a refusal", || {
        let (status, body) = fixture.operate(0, call.clone());
        if status == 200 {
            // The leader does not know its workers yet, so it accepts the job and parks it.
            let job = body["job"].as_str().expect("a job id").to_owned();
            fixture.wait_for_job(&job, "parked");
            return true;
        }
        status == 422 && body["kind"] == "never-fits"
    });
}

#[test]
fn a_cancelled_job_stops_and_a_resent_cancellation_does_no_harm() {
    let fixture = ready_fixture(1, 1);
    let job = fixture.submit_job("long", "certificate-batch", 3, Some(60_000));
    fixture.wait_for_record(&format!("{job}.0"), &RecordKind::Began);
    for _ in 0..2 {
        let (status, _) = fixture.operate(0, Call::post(format!("/v1/jobs/{job}/cancel"), ""));
        assert_eq!(status, 200);
    }
    fixture.wait_for_job(&job, "cancelled");
    fixture.wait_for_record(&format!("{job}.0"), &RecordKind::Stopped);
}
