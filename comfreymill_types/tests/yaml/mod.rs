//! Locations of nodes, problems of sections, and invalid input.

use std::cell::RefCell;

use comfreymill_types::document;
use comfreymill_types::time;
use comfreymill_types::yaml;
use quickcheck::{Gen, QuickCheck};

const SAMPLE: &[u8] = include_bytes!("../../../samples/environment-trust.yaml");
const CASES: u64 = 1_000;
const SIZE: usize = 6;
const SEED: u64 = 7;

fn node_of(text: &str) -> yaml::Node {
    yaml::Node::parse(text.as_bytes()).expect("valid")
}

#[test]
fn a_node_is_found_by_its_path() {
    let node = node_of("a:\n  b:\n    - x\n    - {c: 1}\n");
    let cases = [("a.b[1].c", (4, 11)), ("a.b[0]", (3, 7)), ("a.b[7]", (3, 5)), ("z", (1, 1))];
    for (path, location) in cases {
        assert_eq!(node.find_nearest(path).get_location(), location, "{path}");
    }
}

#[test]
fn a_section_reports_what_is_missing_unknown_or_malformed() {
    let node = node_of("span: 5\nspare: 1\nlist: 3\n");
    let problems = RefCell::default();
    let section = yaml::Section::new("top", &node, &problems);
    assert_eq!(section.required::<time::Span>("span"), None);
    assert_eq!(section.required::<u32>("count"), None);
    assert_eq!(section.optional::<u32>("other"), None);
    assert!(section.sections("list").is_empty());
    section.finish();
    drop(section);
    let texts: Vec<_> = problems.into_inner().iter().map(ToString::to_string).collect();
    assert!(texts[0].starts_with("1:7: top.span: `5` is not a time"), "{texts:?}");
    assert_eq!(texts[1], "1:1: top.count: is missing");
    assert_eq!(texts[2], "3:7: top.list: is not a list");
    assert_eq!(
        texts[3],
        "2:1: top.spare: is not known here: write one of span, count, other, list"
    );
    assert_eq!(texts.len(), 4);
}

#[test]
fn a_duplicate_key_is_refused() {
    let problem = yaml::Node::parse(b"a: 1\na: 2\n").expect_err("duplicate");
    assert!(problem.message.contains("duplicate"), "{problem}");
    assert!(problem.location.is_some_and(|location| location.0 == 2), "{problem}");
}

#[test]
fn deep_nesting_is_refused() {
    let text = "[".repeat(100_000);
    yaml::Node::parse(text.as_bytes()).expect_err("too deep");
}

/// Parsing a document with random bytes replaced either succeeds or returns at least one problem.
#[test]
fn parsing_an_edited_document_never_panics() {
    fn parses_or_reports(edits: Vec<(usize, u8)>) -> bool {
        let mut text = SAMPLE.to_vec();
        for (at, byte) in edits {
            let at = at % text.len();
            text[at] = byte;
        }
        match document::Environment::parse(&text) {
            Ok(_) => true,
            Err(problems) => !problems.is_empty(),
        }
    }
    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(parses_or_reports as fn(Vec<(usize, u8)>) -> bool);
}
