use comfreymill_bench::standin::Call;

use crate::support::Fixture;

fn change(fixture: &Fixture, voter: &str, change: &str) {
    let call = Call::post(format!("/v1/voters/{voter}/{change}"), "");
    let what = format!("the change of {voter}: {change}");
    // The group accepts one change at a time, and promotes a learner only once it has caught up.
    fixture.wait(&what, || {
        let (status, body) = fixture.operate(0, call.clone());
        let message = body["message"].as_str().unwrap_or_default();
        status == 200 || message.contains("is already a member")
    });
}

#[test]
fn a_lost_disk_is_replaced_and_a_second_loss_survived() {
    let mut fixture = Fixture::start_with(&Fixture::config(3, 2).spares(1));
    for version in 1..=5 {
        let operation = format!("before-{version}");
        fixture.wait("an accepted version", || fixture.submit(0, version, &operation).0 == 200);
    }
    let leader = fixture.wait_for_leader();
    let lost = (leader + 1) % 3;
    fixture.cluster.controls[lost].kill();
    fixture.cluster.lose_disk(lost).expect("the folder is emptied");

    // A voter that returns under its old name with an empty disk is refused and exits.
    fixture.cluster.controls[lost].start().expect("control starts again");
    let status = fixture.cluster.controls[lost].wait().expect("a status");
    assert!(status.is_some_and(|status| !status.success()), "{status:?}");
    let log = fixture.cluster.controls[lost].get_log();
    assert!(log.contains("with another disk"), "{log}");

    // A new voter replaces it.
    fixture.cluster.controls[3].start().expect("the spare starts");
    change(&fixture, "control-3", "add");
    change(&fixture, &format!("control-{lost}"), "remove");
    change(&fixture, "control-3", "promote");

    // A second VM is lost right after the repair.
    let leader = fixture.wait_for_leader();
    fixture.cluster.controls[leader].kill();
    fixture.wait("an accepted version", || fixture.submit(1, 6, "after").0 == 200);
    let (_, body) = fixture.operate(1, Call::get("/v1/env/derwent-hull?stage=trial"));
    assert_eq!(body["version"], 6);
    for version in 1..=5 {
        let first = fixture.submit(1, version, &format!("before-{version}"));
        assert_eq!((first.0, &first.1["version"]), (200, &version.into()), "{first:?}");
    }
}
