use comfreymill_bench::cluster::Place;
use comfreymill_bench::standin::Call;

use crate::support::Fixture;

fn others(leader: usize) -> Vec<Place> {
    (0..3).filter(|index| *index != leader).map(Place::Control).collect()
}

fn wait_for_other_leader(fixture: &Fixture, old: usize) -> usize {
    let mut next = old;
    fixture.wait("another leader", || {
        let found = (0..3).find(|index| *index != old && fixture.is_serving(*index));
        next = found.unwrap_or(old);
        found.is_some()
    });
    next
}

#[test]
fn a_leader_behind_a_silent_partition_acknowledges_nothing() {
    let fixture = Fixture::start_with(&Fixture::config(3, 2).relayed());
    let old = fixture.wait_for_leader();
    assert_eq!(fixture.submit(0, 1, "before").0, 200);
    // The old leader can reach entry 0 only; the other voters and entry 1 are on the other side.
    let minority = [Place::Control(old), Place::Entry(0)];
    let mut majority = others(old);
    majority.push(Place::Entry(1));
    fixture.cluster.cut(&minority, &majority);
    wait_for_other_leader(&fixture, old);
    let refused = fixture.submit(0, 2, "lost");
    assert_ne!(refused.0, 200, "{refused:?}");
    let mut accepted = Default::default();
    fixture.wait("a version on the other side", || {
        accepted = fixture.submit(1, 2, "won");
        accepted.0 == 200
    });
    fixture.cluster.heal(&minority, &majority);
    let mut again = Default::default();
    fixture.wait("a conflict with the accepted version through entry 0", || {
        again = fixture.submit(0, 2, "lost");
        again.0 == 409
    });
    let (_, shown) = fixture.operate(0, Call::get("/v1/env/derwent-hull?stage=trial"));
    assert_eq!(
        shown["digest"], accepted.1["digest"],
        "the document sent to the old leader was not applied"
    );
}

#[test]
fn an_entry_that_cannot_confirm_its_document_says_so() {
    let mut fixture = Fixture::start_with(&Fixture::config(3, 2).relayed());
    fixture.promote_document();
    fixture.add_executor("hr-1");
    fixture.search(0, "before");
    let all: Vec<_> = (0..3).map(Place::Control).collect();
    fixture.cluster.cut(&[Place::Entry(0)], &all);
    fixture.wait("entry 0 to be not ready", || {
        let (status, body) = fixture.operate(0, Call::get("/readyz"));
        status == 503 && body["kind"] == "not-current"
    });
    let target = "/v1/derwent-hull/name-search/cut-off";
    let address = fixture.cluster.get_entry(0).callers;
    let refused = Call::post(target, "x").send_blocking(address).expect("an answer");
    assert_eq!(refused.headers()["comfreymill-error"], "not-current");
    assert_eq!(refused.headers()["comfreymill-run"], "not-run");
    assert_eq!(fixture.search(1, "other-entry"), "other-entry");
    let status = Call::get("/v1/env/derwent-hull/status");
    assert_eq!(fixture.submit(1, 2, "submit-2").0, 200);
    fixture.wait("the status to list entry 0 as not in force", || {
        let (_, body) = fixture.operate(1, status.clone());
        let nodes = body["nodes"].as_array().cloned().unwrap_or_default();
        nodes.iter().any(|node| {
            node["name"] == "entry-0"
                && node["is_in_force"] == false
                && node["lacking_for_ms"].is_u64()
        })
    });
    fixture.cluster.heal(&[Place::Entry(0)], &all);
    assert_eq!(fixture.search(0, "mended"), "mended");
}

#[test]
fn the_side_with_a_quorum_goes_on_when_regions_are_apart() {
    let fixture = Fixture::start_with(&Fixture::config(3, 3).relayed());
    fixture.wait_for_leader();
    // Processes 0 and 1 are in one region, process 2 is in the other.
    let near = [Place::Control(0), Place::Control(1), Place::Entry(0), Place::Entry(1)];
    let far = [Place::Control(2), Place::Entry(2)];
    let mut version = 0;
    for _ in 0..2 {
        fixture.cluster.cut(&near, &far);
        fixture.wait("a leader in the larger region", || {
            (0..2).any(|index| fixture.is_serving(index))
        });
        for _ in 0..3 {
            version += 1;
            let operation = format!("apart-{version}");
            fixture.wait("an accepted version", || fixture.submit(0, version, &operation).0 == 200);
        }
        let operation = format!("far-{version}");
        let far_answer = fixture.submit(2, version + 1, &operation);
        assert_ne!(far_answer.0, 200, "{far_answer:?}");
        assert!(!fixture.is_serving(2));
        fixture.cluster.heal(&near, &far);
        // The submission may arrive only now; its answer then was that the outcome is unknown.
        let mut outcome = Default::default();
        fixture.wait("the outcome of the far submission", || {
            outcome = fixture.submit(2, version + 1, &operation);
            matches!(outcome.0, 200 | 409)
        });
        assert_eq!(outcome.0, 200, "no other operator submitted this version: {outcome:?}");
        version += 1;
        fixture.wait("entry 2 to have the version", || {
            let (_, body) = fixture.operate(2, Call::get("/v1/env/derwent-hull?stage=trial"));
            body["version"] == version
        });
    }
}

#[test]
fn a_leader_that_is_heard_but_hears_nobody_steps_down() {
    let fixture = Fixture::start_with(&Fixture::config(3, 1).relayed());
    let old = fixture.wait_for_leader();
    assert_eq!(fixture.submit(0, 1, "before").0, 200);
    for other in others(old) {
        fixture.cluster.set_link_cut(other, old, true);
    }
    // The old leader's own messages still arrive and would keep the others from voting.
    wait_for_other_leader(&fixture, old);
    assert!(!fixture.is_serving(old));
    fixture.wait("an accepted version", || fixture.submit(0, 2, "after").0 == 200);
}
