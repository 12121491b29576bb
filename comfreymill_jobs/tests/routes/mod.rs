//! The longest matching prefix wins, and invalid tables are rejected.

use comfreymill_jobs::routes::{Pool, RouteTable};

use crate::support::{pool, queue};

fn table() -> RouteTable {
    RouteTable {
        version: 3,
        queues: vec![queue("all", "/a/"), queue("inner", "/a/b/")],
        pools: vec![pool()],
        ..RouteTable::default()
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table();
    let (found, rest) = table.find("jobs.example", "/a/b/0001").expect("a queue");
    assert_eq!((found.name.as_str(), rest), ("inner", "0001"));
    let (found, rest) = table.find("JOBS.example", "/a/x").expect("a queue");
    assert_eq!((found.name.as_str(), rest), ("all", "x"));
    assert!(table.find("other.example", "/a/x").is_none());
    assert!(table.find("jobs.example", "/b").is_none());
}

#[test]
fn the_error_of_an_invalid_table_names_the_field() {
    let mut unknown = table();
    unknown.queues[1].pool = "nobody".to_owned();
    assert_eq!(unknown.check().expect_err("unknown pool").field, "queues[1].pool");
    let mut duplicate = table();
    duplicate.queues[1].prefix = "/a/".to_owned();
    assert_eq!(duplicate.check().expect_err("same host and prefix").field, "queues[1].prefix");
    duplicate.queues[1].host = "JOBS.example".to_owned();
    assert_eq!(duplicate.check().expect_err("hosts have no case").field, "queues[1].prefix");
    let mut without_timeout = table();
    without_timeout.queues[0].timeout_ms = 0;
    assert_eq!(without_timeout.check().expect_err("no timeout").field, "queues[0].timeout");
    let _: &Pool = table().pool("workers").expect("a pool");
    assert!(table().check().is_ok());
}

#[test]
fn queues_of_one_name_get_names_of_their_own() {
    let names = ["a", "a", "a#2", "b", "a"];
    let queues = names.iter().map(|name| queue(name, "/")).collect();
    let table = RouteTable { queues, ..table() }.with_unique_names();
    let names: Vec<&str> = table.queues.iter().map(|queue| queue.name.as_str()).collect();
    assert_eq!(names, ["a", "a#3", "a#2", "b", "a#4"]);
}
