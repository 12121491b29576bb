use comfreymill_bench::standin::{Call, RecordKind};

use crate::support::Fixture;

fn finish_job(fixture: &Fixture, key: &str) -> String {
    let job = fixture.submit_job(key, "certificate-batch", 2, Some(300));
    fixture.wait_for_job(&job, "finished");
    job
}

#[test]
fn path_is_whole_and_survives_the_kill_of_each_process() {
    let mut fixture = Fixture::start(1, 2);
    fixture.promote_document();
    fixture.add_executor("hr-1");
    fixture.add_worker("w-1");

    assert_eq!(fixture.search(0, "first"), "first");
    assert_eq!(fixture.search(1, "second"), "second");
    let job = finish_job(&fixture, "certificates-1");

    let explain = Call::get(format!("/v1/explain/{job}.0"));
    let why = fixture.wait_for("an explanation", &explain, |body| !body["decisions"].is_null());
    let decisions = why["decisions"].as_array().expect("decisions");
    assert!(!decisions.is_empty(), "{why}");

    fixture.cluster.controls[0].kill();
    fixture.cluster.controls[0].start().expect("control starts again");
    assert_eq!(fixture.search(0, "after-control"), "after-control");
    fixture.wait_for_job(&job, "finished");
    let status = Call::get("/v1/env/derwent-hull/status");
    fixture
        .wait_for("the document in production", &status, |body| body["production"]["version"] == 1);
    let again = fixture.submit_job("certificates-1", "certificate-batch", 2, Some(300));
    assert_eq!(again, job, "a resend finds its job");

    for entry in 0..2 {
        fixture.cluster.entries[entry].kill();
        fixture.cluster.entries[entry].start().expect("an entry starts again");
        let name = format!("after-entry-{entry}");
        assert_eq!(fixture.search(entry, &name), name);
    }

    fixture.executors.clear();
    fixture.add_executor("hr-1");
    assert_eq!(fixture.search(1, "after-executor"), "after-executor");

    fixture.workers.clear();
    fixture.add_worker("w-1");
    finish_job(&fixture, "certificates-2");

    for task in [format!("{job}.0"), format!("{job}.1")] {
        assert_eq!(fixture.journal.count(&task, &RecordKind::Began), 1, "{task} ran once");
        assert_eq!(fixture.journal.count(&task, &RecordKind::Finished), 1, "{task} ended once");
    }
    fixture.wait_for_record("/after-executor", &RecordKind::Finished);
    assert_eq!(fixture.journal.count("overfull", &RecordKind::Failed), 0);
}
