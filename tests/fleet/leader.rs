use nix::sys::signal::Signal;

use crate::support::Fixture;

/// Submits versions one after another and calls `inject_fault` on the leader before each.
fn submit_versions<F>(fixture: &mut Fixture, versions: u64, mut inject_fault: F)
where
    F: FnMut(&mut Fixture, usize),
{
    for version in 1..=versions {
        let leader = fixture.wait_for_leader();
        inject_fault(fixture, leader);
        let operation = format!("submit-{version}");
        let mut answer = Default::default();
        fixture.wait(&format!("an answer to version {version}"), || {
            answer = fixture.submit(0, version, &operation);
            answer.0 == 200
        });
        assert_eq!(answer.1["version"], version, "an operation gets its first answer");
        // A resend through another entry gets the same answer.
        let mut resent = Default::default();
        fixture.wait("an answer to the resend", || {
            resent = fixture.submit(1, version, &operation);
            resent.0 == 200
        });
        assert_eq!(resent.1, answer.1);
    }
}

#[test]
fn nothing_acknowledged_is_lost_when_leaders_are_killed() {
    let mut fixture = Fixture::start(3, 2);
    submit_versions(&mut fixture, 6, |fixture, leader| {
        fixture.cluster.controls[leader].kill();
        let next = fixture.wait_for_leader();
        assert_ne!(next, leader);
        fixture.cluster.controls[leader].start().expect("control starts again");
    });
    let status = comfreymill_bench::standin::Call::get("/v1/env/derwent-hull/status");
    fixture.wait_for("the last version", &status, |body| body["trial"]["version"] == 6);
}

#[test]
fn a_frozen_leader_acknowledges_nothing_when_it_returns() {
    let mut fixture = Fixture::start(3, 2);
    submit_versions(&mut fixture, 3, |fixture, leader| {
        fixture.cluster.controls[leader].signal(Signal::SIGSTOP);
        let all = 0..fixture.cluster.controls.len();
        let others: Vec<_> = all.filter(|index| *index != leader).collect();
        fixture.wait("another leader", || others.iter().any(|index| fixture.is_serving(*index)));
        fixture.cluster.controls[leader].signal(Signal::SIGCONT);
        fixture.wait("the old leader to stop serving", || !fixture.is_serving(leader));
    });
}

#[test]
fn a_stopping_leader_hands_over() {
    let mut fixture = Fixture::start(3, 2);
    submit_versions(&mut fixture, 3, |fixture, leader| {
        fixture.cluster.controls[leader].signal(Signal::SIGTERM);
        let status = fixture.cluster.controls[leader].wait().expect("a status");
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        fixture.wait_for_leader();
        fixture.cluster.controls[leader].start().expect("control starts again");
    });
}

#[test]
fn a_call_in_flight_is_answered_after_its_leader_is_killed() {
    let mut fixture = Fixture::start(3, 1);
    for version in 1..=3 {
        let leader = fixture.wait_for_leader();
        // A successful call shows that the entry knows this leader.
        let status = comfreymill_bench::standin::Call::get("/v1/status");
        fixture.wait("an answer", || fixture.operate(0, status.clone()).0 == 200);
        fixture.cluster.controls[leader].signal(Signal::SIGSTOP);
        let answer = std::thread::scope(|scope| {
            let fixture = &fixture;
            let operation = format!("in-flight-{version}");
            let call = scope.spawn(move || fixture.submit(0, version, &operation));
            std::thread::sleep(std::time::Duration::from_millis(100));
            fixture.cluster.controls[leader].signal(Signal::SIGKILL);
            call.join().expect("an answer")
        });
        assert_eq!(answer.0, 200, "{answer:?}");
        fixture.cluster.controls[leader].kill();
        fixture.cluster.controls[leader].start().expect("control starts again");
    }
}
