//! Parsing of environment documents, which reports every problem with its location and field.

use comfreymill_types::document;

const VALID: &str = "\
name: trust
version: 1
teams:
  - name: counter
classes:
  - name: search
    kind:
      prompt:
        service: register
        deadline: 800ms
  - name: batch
    kind:
      batch:
        size: { cores: 4, memory: 8GB, accelerators: 0 }
";

fn problems_of(text: &str) -> Vec<String> {
    let problems = document::Environment::parse(text.as_bytes()).expect_err("problems");
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn a_valid_document_is_read() {
    let environment = document::Environment::parse(VALID.as_bytes()).expect("valid");
    assert_eq!(environment.classes.len(), 2);
    let search = environment.classes[0].as_prompt().expect("prompt");
    assert_eq!(search.deadline.to_string(), "800ms");
}

#[test]
fn parsing_agrees_with_serde_saphyr() {
    let expected: document::Environment = serde_saphyr::from_str(VALID).expect("valid");
    let environment = document::Environment::parse(VALID.as_bytes()).expect("valid");
    assert_eq!(environment, expected);
}

#[test]
fn each_problem_has_its_line_column_and_field() {
    #[rustfmt::skip]
    let cases = [
        ("800ms", "800", "10:19: classes[0].kind.prompt.deadline: `800` is not a time"),
        ("8GB", "8", "14:35: classes[1].kind.batch.size.memory: `8` is not a size"),
        ("cores: 4", "cores: lots", "14:24: classes[1].kind.batch.size.cores: is not a number: `lots`"),
        ("version: 1", "version: one", "2:10: version: is not a whole number from 0: `one`"),
        ("version: 1", "version: 0", "2:10: version: must be at least 1"),
        ("service: register", "service: Register!", "9:18: classes[0].kind.prompt.service: `Register!` is no service name"),
        ("deadline: 800ms", "deadline: 0s", "10:19: classes[0].kind.prompt.deadline: must be from 1us to 30s"),
        ("name: batch", "name: search", "11:11: classes[1].name: `search` is used more than once"),
        ("batch:\n", "dance:\n", "13:7: classes[1].kind.dance: "),
        ("name: counter", "nome: counter", "4:5: teams[0].nome: is not known here: write one of name, quota, share"),
        ("name: counter", "nome: counter", "4:5: teams[0].name: is missing"),
        ("teams:\n  - name: counter", "teams: none", "3:8: teams: is not a list"),
        ("name: trust", "name: [trust]", "1:7: name: is not a single value"),
        ("classes:", "klasses:", "1:1: classes: is missing"),
    ];
    for (from, to, expected) in cases {
        let text = VALID.replace(from, to);
        let problems = problems_of(&text);
        let found = problems.iter().any(|problem| problem.starts_with(expected));
        assert!(found, "{to}: expected {expected} in {problems:#?}");
    }
}

#[test]
fn all_problems_are_reported_at_once() {
    let text = VALID
        .replace("version: 1", "version: one")
        .replace("800ms", "800")
        .replace("service: register", "service: R")
        .replace("8GB", "8")
        .replace("accelerators: 0", "accelerators: -1")
        .replace("- name: counter", "- name: counter\n    colour: red");
    let problems = problems_of(&text);
    let fields: Vec<_> =
        problems.iter().map(|problem| problem.split(": ").nth(1).expect("field")).collect();
    assert_eq!(
        fields,
        [
            "version",
            "teams[0].colour",
            "classes[0].kind.prompt.service",
            "classes[0].kind.prompt.deadline",
            "classes[1].kind.batch.size.memory",
            "classes[1].kind.batch.size.accelerators",
        ]
    );
}

#[test]
fn text_that_is_not_yaml_is_refused_with_its_location() {
    let problems = problems_of("name: trust\nversion: [1\n");
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert!(problems[0].contains("not YAML"), "{problems:?}");
    let problems = document::Environment::parse(b"name: \xff").expect_err("not UTF-8");
    assert!(problems[0].message.contains("not UTF-8 at byte 6"), "{problems:?}");
}

#[test]
fn the_samples_are_valid() {
    let samples = [
        include_bytes!("../../../samples/environment-trust.yaml").as_slice(),
        include_bytes!("../../../samples/environment-licenta.yaml").as_slice(),
    ];
    for sample in samples {
        let environment = document::Environment::parse(sample).expect("valid");
        assert!(environment.classes.iter().any(|class| class.as_prompt().is_some()));
        assert!(environment.classes.iter().any(|class| class.unrepeatable));
        assert!(environment.classes.iter().any(document::Class::is_standing));
    }
}
