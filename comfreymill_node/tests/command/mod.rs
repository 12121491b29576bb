//! Tests of line diffs and of human-readable output.

use comfreymill_node::command;
use quickcheck::{Gen, QuickCheck};

const CASES: u64 = 500;
const SIZE: usize = 12;
const SEED: u64 = 11;

#[test]
fn a_diff_shows_context_and_line_numbers() {
    let old = "a\nb\nc\nd\ne\nf\ng\n";
    let new = "a\nb\nc\nX\ne\nf\ng\nh\n";
    let expected = "@@ line 2\n  b\n  c\n- d\n+ X\n  e\n  f\n  g\n+ h\n";
    assert_eq!(command::line_diff(old, new), expected);
}

/// The numbers of removed and added lines account for the difference in length, and a diff is empty
/// only for equal texts.
#[test]
fn a_diff_contains_every_changed_line() {
    fn holds(old: Vec<u8>, new: Vec<u8>) -> bool {
        let [old, new] = [old, new].map(|lines| {
            lines.into_iter().map(|line| format!("{}\n", line % 4)).collect::<String>()
        });
        let diff = command::line_diff(&old, &new);
        let count = |mark: char| diff.lines().filter(|line| line.starts_with(mark)).count();
        let (removed, added) = (count('-'), count('+'));
        let lengths_fit = old.lines().count() + added == new.lines().count() + removed;
        lengths_fit && diff.is_empty() == (old == new)
    }
    QuickCheck::new()
        .tests(CASES)
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(holds as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn json_becomes_fields_and_tables() {
    let value = serde_json::json!({
        "name": "trust",
        "leader": null,
        "zones": ["a", "b"],
        "voters": [{"name": "v1", "lag": 3}, {"name": "v20", "zone": "a"}],
        "limits": {"body": 10},
        "empty": {},
    });
    let expected = "empty: -\nleader: -\nlimits:\n  body: 10\nname: trust\nvoters:\n  \
                    lag  name  zone\n  3    v1    -\n  -    v20   a\nzones: a, b\n";
    assert_eq!(command::render_text(&value), expected);
    assert_eq!(command::render_text(&serde_json::json!([])), "none\n");
    assert_eq!(command::render_text(&serde_json::json!(["a", 1])), "a\n1\n");
}
