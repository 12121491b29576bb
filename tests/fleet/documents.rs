use comfreymill_bench::standin::Call;

use crate::support::Fixture;

#[test]
fn of_two_operators_with_equal_versions_one_wins() {
    let fixture = Fixture::start(3, 2);
    fixture.promote_document();
    for version in 2..6 {
        let answers = std::thread::scope(|scope| {
            let submit = |entry: usize| {
                let fixture = &fixture;
                // Each operator submits a different document.
                let text = format!("{}\n# operator {entry}\n", Fixture::document(version));
                let call = Call::post("/v1/env/derwent-hull/submit", text)
                    .header("operation-id", &format!("race-{version}-{entry}"))
                    .header("replaces", &(version - 1).to_string());
                scope.spawn(move || fixture.operate(entry, call))
            };
            let both = [submit(0), submit(1)];
            both.map(|thread| thread.join().expect("an answer"))
        });
        let accepted = answers.iter().filter(|(status, _)| *status == 200).count();
        assert_eq!(accepted, 1, "{answers:?}");
        let refused = answers.iter().find(|(status, _)| *status != 200).expect("a refusal");
        assert_eq!(refused.0, 409, "{answers:?}");
        let message = refused.1["message"].as_str().expect("a message");
        assert!(message.contains(&format!("version {version} is present")), "{message}");
    }
}

#[test]
fn production_sees_only_what_was_promoted() {
    let fixture = Fixture::start(1, 1);
    fixture.promote_document();
    let (status, _) = fixture.submit(0, 2, "submit-2");
    assert_eq!(status, 200);
    let show = Call::get("/v1/env/derwent-hull?stage=production");
    let (_, body) = fixture.operate(0, show);
    assert_eq!(body["version"], 1);
    let show = Call::get("/v1/env/derwent-hull?stage=trial");
    let (_, body) = fixture.operate(0, show);
    assert_eq!(body["version"], 2);
    // A promotion with a digest other than that of the trial is refused.
    let (_, production) = fixture.operate(0, Call::get("/v1/env/derwent-hull?stage=production"));
    let stale = "0".repeat(64);
    let promote = Call::post("/v1/env/derwent-hull/promote", format!("{{\"digest\":\"{stale}\"}}"))
        .header("operation-id", "promote-stale");
    assert_eq!(fixture.operate(0, promote).0, 409);
    assert_eq!(production["version"], 1);
}

#[test]
fn an_accepted_document_is_in_force_on_every_entry() {
    let fixture = Fixture::start(3, 3);
    fixture.promote_document();
    let status = Call::get("/v1/env/derwent-hull/status");
    let body = fixture
        .wait_for("the document in force on three entries", &status, |body| body["in_force"] == 3);
    assert_eq!(body["lacking"], 0, "{body}");
    assert_eq!(body["production"]["version"], 1, "{body}");
}
