//! What the schedulers that are left say when a majority has lost its disks.

use serde_json::Value;

use super::group_bed::GroupBed;

/// Number of voters.
const VOTERS: usize = 5;
/// Number of characters of a line that a cut record keeps.
const CUT: usize = 200;

/// The records of groups that were dead for good said neither who voted, nor that a majority was gone.
#[test]
fn the_schedulers_that_are_left_say_that_a_majority_is_gone() {
    let mut bed = GroupBed::start(VOTERS);
    for _ in 3..VOTERS {
        let leader = bed.wait_for_leader();
        let member = bed.add();
        bed.wait("another voter", || bed.voters(leader).contains(&member));
    }
    bed.wait("all to know the voters", || {
        (0..VOTERS).all(|member| bed.voters(member).len() == VOTERS)
    });
    let logs = bed.logs();
    let changes = ["proposed", "committed", "received"];
    for change in changes {
        let event = format!("a membership change is {change}");
        let line = lines(&logs, &event).last().cloned().expect(change);
        let voters = line["voters"].as_str().unwrap_or_default();
        assert!(voters.split(' ').count() >= 3, "{line}");
        assert!(line["learners"].is_string() && line["entry"].is_u64(), "{line}");
    }

    let leader = bed.wait_for_leader();
    let lost = [leader, (leader + 1) % VOTERS, (leader + 2) % VOTERS];
    lost.into_iter().for_each(|member| bed.wipe(member));
    lost.into_iter().for_each(|member| bed.run_later(member));
    let event = "too few voters answer to elect a leader";
    bed.wait("both that are left to report", || lines(&bed.logs(), event).len() >= 2);
    for line in lines(&bed.logs(), event) {
        let counts = (&line["missing"], &line["voters"], &line["heard"]);
        assert_eq!(counts, (&Value::from(1), &Value::from(VOTERS), &Value::from(2)), "{line}");
        assert_eq!(line["silent"].as_str().map(|silent| silent.split(' ').count()), Some(3));
    }
    let is_own = |line: &&str| line.contains("no leader is known") && line.contains(r#""heard":2"#);
    bed.wait("a search for a leader", || bed.logs().lines().any(|line| is_own(&line)));
    let logs = bed.logs();
    let searches: Vec<&str> = logs.lines().filter(is_own).collect();
    for line in searches {
        let kept: String = line.chars().take(CUT).collect();
        for field in ["role", "term", "kind", "voters", "heard", "unsynced_ms"] {
            assert!(kept.contains(&format!(r#""{field}":"#)), "{field} is cut: {line}");
        }
    }
    let elections = lines(&logs, "an election has ended");
    let failed = elections.iter().filter(|line| line["outcome"] == "no majority");
    assert!(failed.clone().any(|line| line["silent"] == 3 && line["granted"] == 1), "{logs}");
}

/// Returns the lines of an event.
fn lines(logs: &str, event: &str) -> Vec<Value> {
    let lines = logs.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.filter(|line| line["event"] == event).collect()
}
