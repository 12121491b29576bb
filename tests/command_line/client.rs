use std::fs;
use std::process;

use super::binary;
use super::node::{self, Behaviour, Node};

const JOBS: &str = r#"{"jobs":[{"id":"j1","state":"active","tasks":3},{"id":"j20","state":"finished","tasks":1}],"leader":"control-1"}"#;
const SUCCESS: Behaviour = Behaviour::Answer(200, r#"{"version":1}"#);
const SHORT_TIMEOUT: &str = "2s";

/// Returns an address on which nothing listens: the system never assigns port 1 to a process that
/// asks for any free port.
fn unreachable_address() -> String {
    "127.99.99.99:1".to_owned()
}

/// Returns the arguments with the addresses and a timeout that no test reaches.
fn with_nodes<'a>(args: &[&'a str], nodes: &'a [String]) -> Vec<&'a str> {
    with_nodes_and_timeout(args, nodes, "60s")
}

/// Returns the arguments with the addresses and the time after which the client gives up.
fn with_nodes_and_timeout<'a>(
    args: &[&'a str],
    nodes: &'a [String],
    timeout: &'a str,
) -> Vec<&'a str> {
    let mut all = args.to_vec();
    for address in nodes {
        all.extend(["--operators", address]);
    }
    all.extend(["--timeout", timeout]);
    all
}

fn submit(nodes: &[String]) -> binary::Outcome {
    binary::run(&with_nodes(&["env", "submit", "environment-trust.yaml"], nodes))
}

#[test]
fn an_unreachable_node_is_one_line_that_names_it() {
    let address = unreachable_address();
    let outcome = binary::run(&with_nodes_and_timeout(
        &["status"],
        std::slice::from_ref(&address),
        SHORT_TIMEOUT,
    ));
    assert_eq!(outcome.code, 4);
    assert_eq!(outcome.stdout, "");
    let expected = format!(
        "comfreymill: unreachable: {address}: cannot connect: connection refused; \
         check that the process runs and that --operators is its address\n"
    );
    assert_eq!(outcome.stderr, expected);
}

#[test]
fn a_refused_token_says_what_to_do() {
    let refusal = r#"{"kind":"unauthorized","message":"the token is wrong"}"#;
    let node = Node::start(Behaviour::Answer(401, refusal));
    let outcome = binary::run(&with_nodes(&["status"], &[node.address()]));
    assert_eq!(outcome.code, 3);
    let expected = "comfreymill: unauthorized: the token is wrong; \
                    pass the file with the operators' token with --token-file\n";
    assert_eq!(outcome.stderr, expected);
    assert_eq!(node.requests().len(), 1, "a refused token is not tried again");
}

#[test]
fn the_token_comes_from_the_flag_or_the_variable() {
    let node = Node::start(SUCCESS);
    let path = std::env::temp_dir().join(format!("comfreymill-token-{}", process::id()));
    fs::write(&path, "s3cret\n").expect("written");
    let file = path.to_str().expect("UTF-8");
    let nodes = [node.address()];
    let by_flag = binary::run(&with_nodes(&["status", "--token-file", file], &nodes));
    let by_variable =
        binary::run_with(&with_nodes(&["status"], &nodes), &[("COMFREYMILL_TOKEN_FILE", file)]);
    let none = binary::run(&with_nodes(&["status"], &nodes));
    fs::remove_file(&path).expect("removed");
    assert_eq!((by_flag.code, by_variable.code, none.code), (0, 0, 0));
    let tokens: Vec<_> =
        node.requests().iter().map(|request| node::header(request, "authorization")).collect();
    let bearer = Some("Bearer s3cret".to_owned());
    assert_eq!(tokens, [bearer.clone(), bearer, None]);
}

#[test]
fn addresses_come_from_the_variable() {
    let node = Node::start(SUCCESS);
    let variable = format!("{}, {}", unreachable_address(), node.address());
    let outcome = binary::run_with(&["status"], &[("COMFREYMILL_OPERATORS", &variable)]);
    assert_eq!(outcome.code, 0, "{outcome:?}");
    let outcome = binary::run_with(&["status"], &[("COMFREYMILL_OPERATORS", "here")]);
    assert_eq!(outcome.code, 2);
    assert!(outcome.stderr.starts_with("comfreymill: bad-request: COMFREYMILL_OPERATORS: `here`"));
}

#[test]
fn a_change_is_sent_again_under_the_same_operation_id() {
    let lost = Node::start(Behaviour::Close);
    let leaderless =
        Node::start(Behaviour::Answer(503, r#"{"kind":"no-leader","message":"none"}"#));
    let good = Node::start(SUCCESS);
    let nodes = [unreachable_address(), lost.address(), leaderless.address(), good.address()];
    let outcome = submit(&nodes);
    assert_eq!(outcome.code, 0, "{outcome:?}");
    assert_eq!(outcome.stdout, "version: 1\n");
    let requests: Vec<_> = [lost, leaderless, good].iter().flat_map(Node::requests).collect();
    assert_eq!(requests.len(), 3);
    let ids: Vec<_> =
        requests.iter().map(|request| node::header(request, "operation-id").expect("id")).collect();
    assert_eq!(ids[0].len(), 32);
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
    for request in &requests {
        assert!(request.starts_with("POST /v1/env/derwent-hull/submit HTTP/1.1\r\n"));
        assert_eq!(node::header(request, "replaces").as_deref(), Some("0"));
        assert!(request.contains("name: derwent-hull\nversion: 1\n"));
    }
}

#[test]
fn two_changes_have_different_operation_ids() {
    let good = Node::start(SUCCESS);
    let nodes = [good.address()];
    assert_eq!((submit(&nodes).code, submit(&nodes).code), (0, 0));
    let ids: Vec<_> =
        good.requests().iter().map(|request| node::header(request, "operation-id")).collect();
    assert_eq!(ids.len(), 2);
    assert_ne!(ids[0], ids[1]);
}

#[test]
fn a_change_without_an_answer_is_unknown_and_names_the_resend() {
    for behaviour in [Behaviour::Close, Behaviour::CutShort] {
        let lost = Node::start(behaviour);
        let args = ["env", "submit", "environment-trust.yaml", "--operation", "op-7"];
        let outcome = binary::run(&with_nodes_and_timeout(&args, &[lost.address()], SHORT_TIMEOUT));
        assert_eq!(outcome.code, 10, "{outcome:?}");
        assert!(outcome.stderr.starts_with("comfreymill: commit-unknown: "), "{outcome:?}");
        let expected = "the change may have been done: send it again with `--operation op-7`\n";
        assert!(outcome.stderr.ends_with(expected), "{outcome:?}");
        for request in lost.requests() {
            assert_eq!(node::header(&request, "operation-id").as_deref(), Some("op-7"));
        }
    }
}

#[test]
fn a_change_that_no_node_received_is_not_unknown() {
    let args = ["env", "submit", "environment-trust.yaml"];
    let nodes = [unreachable_address(), unreachable_address()];
    let outcome = binary::run(&with_nodes_and_timeout(&args, &nodes, SHORT_TIMEOUT));
    assert_eq!(outcome.code, 4, "{outcome:?}");
}

#[test]
fn a_conflict_is_not_sent_again() {
    let body = r#"{"kind":"conflict","message":"version 4 is in trial","field":"replaces"}"#;
    let node = Node::start(Behaviour::Answer(409, body));
    let other = Node::start(SUCCESS);
    let outcome = submit(&[node.address(), other.address()]);
    assert_eq!(outcome.code, 6);
    let expected = "comfreymill: conflict: replaces: version 4 is in trial; ";
    assert!(outcome.stderr.starts_with(expected), "{outcome:?}");
    assert!(other.requests().is_empty());
}

#[test]
fn a_job_is_sent_with_its_key() {
    let node = Node::start(Behaviour::Answer(200, r#"{"id":"j1"}"#));
    let args = [
        "job",
        "submit",
        "--environment",
        "trust",
        "--team",
        "registry",
        "--class",
        "certificate-batch",
        "--tasks",
        "4",
        "--key",
        "hull-7",
    ];
    let outcome = binary::run(&with_nodes(&args, &[node.address()]));
    assert_eq!((outcome.code, outcome.stdout.as_str()), (0, "id: j1\n"));
    let requests = node.requests();
    assert_eq!(node::header(&requests[0], "idempotency-key").as_deref(), Some("hull-7"));
    let body = requests[0].split_once("\r\n\r\n").expect("body").1;
    let spec: serde_json::Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(spec["tasks"], 4);
    assert_eq!(spec["class"], "certificate-batch");
    assert_eq!(spec["stage"], "production");
}

#[test]
fn commands_request_their_paths() {
    let node = Node::start(Behaviour::Answer(200, r#"{"version":3,"text":"name: trust\n"}"#));
    let digest = "ab".repeat(32);
    let cases: [(&[&str], &str); 11] = [
        (&["status"], "GET /v1/status"),
        (&["explain", "j17"], "GET /v1/explain/j17"),
        (&["drain"], "POST /v1/drain"),
        (&["env", "show", "trust"], "GET /v1/env/trust?stage=production"),
        (&["env", "show", "trust", "--stage", "trial"], "GET /v1/env/trust?stage=trial"),
        (&["env", "status", "trust"], "GET /v1/env/trust/status"),
        (&["env", "promote", "trust", &digest], "POST /v1/env/trust/promote"),
        (&["job", "list"], "GET /v1/jobs"),
        (&["job", "release", "j17.3"], "POST /v1/tasks/j17.3/release"),
        (&["voter", "control-4", "promote"], "POST /v1/voters/control-4/promote"),
        (&["job", "cancel", "j17"], "POST /v1/jobs/j17/cancel"),
    ];
    for (args, expected) in cases {
        let outcome = binary::run(&with_nodes(args, &[node.address()]));
        assert_eq!(outcome.code, 0, "{args:?}: {outcome:?}");
        let requests = node.requests();
        assert!(requests[0].starts_with(&format!("{expected} HTTP/1.1\r\n")), "{requests:?}");
    }
}

#[test]
fn a_list_is_a_table_or_json() {
    let node = Node::start(Behaviour::Answer(200, JOBS));
    let nodes = [node.address()];
    let text = binary::run(&with_nodes(&["job", "list"], &nodes));
    let expected = "jobs:\n  id   state     tasks\n  j1   active    3\n  j20  finished  1\n\
                    leader: control-1\n";
    assert_eq!(text.stdout, expected);
    let json = binary::run(&with_nodes(&["job", "list", "--output", "json"], &nodes));
    let value: serde_json::Value = serde_json::from_str(&json.stdout).expect("JSON");
    assert_eq!(value, serde_json::from_str::<serde_json::Value>(JOBS).expect("JSON"));
}

#[test]
fn a_document_is_compared_with_the_one_in_production() {
    let node = Node::start(Behaviour::Answer(200, r#"{"text":"name: trust\nversion: 1\n"}"#));
    let nodes = [node.address()];
    let equal = binary::run(&with_nodes(&["env", "diff", "trust"], &nodes));
    assert_eq!(equal.stdout, "trial and production are equal\n");
    let file = "../tests/command_line/faulty-environment.yaml";
    let other = binary::run(&with_nodes(&["env", "diff", "trust", file], &nodes));
    assert_eq!(other.code, 0);
    let expected = format!(
        "--- production\n+++ {file}\n@@ line 1\n  name: trust\n- version: 1\n+ version: 0\n"
    );
    assert!(other.stdout.starts_with(&expected), "{}", other.stdout);
}

#[test]
fn an_answer_that_is_not_json_is_an_error() {
    let node = Node::start(Behaviour::Answer(200, "<html>"));
    let outcome = binary::run(&with_nodes(&["status"], &[node.address()]));
    assert_eq!(outcome.code, 70);
    assert!(outcome.stderr.contains("the node's answer is not JSON"), "{outcome:?}");
    let node = Node::start(Behaviour::Answer(500, "<html>"));
    let outcome = binary::run(&with_nodes(&["status"], &[node.address()]));
    assert_eq!(outcome.code, 70);
    assert!(outcome.stderr.contains("the node answered with status 500"), "{outcome:?}");
}
