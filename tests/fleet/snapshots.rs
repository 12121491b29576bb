use comfreymill_bench::standin::Call;

use crate::support::Fixture;

const VERSIONS: u64 = 40;

#[test]
fn snapshot_contents_survive_kills_and_reach_a_voter_that_was_down() {
    let cfg = Fixture::config(3, 1).snapshot_entries(8);
    let mut fixture = Fixture::start_with(&cfg);
    let leader = fixture.wait_for_leader();
    let down = (leader + 1) % 3;
    fixture.cluster.controls[down].kill();
    for version in 1..=VERSIONS {
        let operation = format!("submit-{version}");
        fixture.wait("an accepted version", || fixture.submit(0, version, &operation).0 == 200);
    }
    for control in &mut fixture.cluster.controls {
        control.kill();
    }
    // The voter that was down has none of the versions, so the other one has to supply all of them.
    let other = (leader + 2) % 3;
    for control in [down, other] {
        fixture.cluster.controls[control].start().expect("control starts again");
    }
    fixture.wait("the last version", || {
        let (_, body) = fixture.operate(0, Call::get("/v1/env/derwent-hull?stage=trial"));
        body["version"] == VERSIONS
    });
    fixture.cluster.controls[other].kill();
    fixture.cluster.controls[leader].start().expect("control starts again");
    for version in [1, VERSIONS / 2, VERSIONS] {
        let operation = format!("submit-{version}");
        let mut first = Default::default();
        fixture.wait("a first answer", || {
            first = fixture.submit(0, version, &operation);
            first.0 == 200
        });
        assert_eq!(first.1["version"], version);
    }
}
