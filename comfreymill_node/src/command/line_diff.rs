use std::fmt::Write as _;

/// Returns a line diff from `old` to `new`, which is empty if the texts are equal.
///
/// Removed lines are marked `-`, added lines `+`, and context lines are unmarked. Each hunk begins
/// with its first line number in `new`.
pub fn line_diff(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let steps = list_steps(&old, &new);
    let shown = mark_shown(&steps);
    let mut text = String::new();
    let mut new_line = 1;
    let mut in_hunk = false;
    for (step, is_shown) in steps.iter().zip(shown) {
        if is_shown {
            if !in_hunk {
                push_line(&mut text, "@@ line ", &new_line.to_string());
            }
            push_line(&mut text, step.mark(), step.line());
        }
        in_hunk = is_shown;
        new_line += usize::from(!matches!(step, Step::Remove(_)));
    }
    text
}

const CONTEXT_LINES: usize = 2;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step<'a> {
    Keep(&'a str),
    Remove(&'a str),
    Add(&'a str),
}

impl<'a> Step<'a> {
    fn mark(self) -> &'static str {
        match self {
            Self::Keep(_) => "  ",
            Self::Remove(_) => "- ",
            Self::Add(_) => "+ ",
        }
    }

    fn line(self) -> &'a str {
        match self {
            Self::Keep(line) | Self::Remove(line) | Self::Add(line) => line,
        }
    }
}

fn push_line(text: &mut String, mark: &str, line: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{}", format!("{mark}{line}").trim_end());
}

/// Returns the steps from `old` to `new` along a longest common subsequence.
fn list_steps<'a>(old: &[&'a str], new: &[&'a str]) -> Vec<Step<'a>> {
    let lengths = common_lengths(old, new);
    let (mut i, mut j) = (0, 0);
    let mut steps = Vec::new();
    while i < old.len() || j < new.len() {
        if i < old.len() && j < new.len() && old[i] == new[j] {
            steps.push(Step::Keep(old[i]));
            i += 1;
            j += 1;
        } else if j == new.len() || (i < old.len() && lengths[i + 1][j] >= lengths[i][j + 1]) {
            steps.push(Step::Remove(old[i]));
            i += 1;
        } else {
            steps.push(Step::Add(new[j]));
            j += 1;
        }
    }
    steps
}

/// Returns, for each pair of line positions, the length of the longest common subsequence of the
/// lines from there on.
fn common_lengths(old: &[&str], new: &[&str]) -> Vec<Vec<u32>> {
    let mut lengths = vec![vec![0; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lengths[i][j] = if old[i] == new[j] {
                lengths[i + 1][j + 1] + 1
            } else {
                lengths[i + 1][j].max(lengths[i][j + 1])
            };
        }
    }
    lengths
}

fn mark_shown(steps: &[Step<'_>]) -> Vec<bool> {
    let mut shown = vec![false; steps.len()];
    for (at, step) in steps.iter().enumerate() {
        if !matches!(step, Step::Keep(_)) {
            let first = at.saturating_sub(CONTEXT_LINES);
            let last = (at + CONTEXT_LINES).min(steps.len() - 1);
            shown[first..=last].fill(true);
        }
    }
    shown
}
