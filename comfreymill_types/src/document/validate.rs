use std::collections::HashSet;
use std::fmt;
use std::hash;
use std::time::Duration;

use super::{BatchClass, Class, ClassKind, Environment, Problem, PromptClass, Team};
use crate::size;

/// Checks the constraints that deserialization does not enforce, and returns the violations.
pub(super) fn validate(document: &Environment) -> Vec<Problem> {
    let mut problems = Vec::new();
    if document.version.get() == 0 {
        problems.push(Problem::new("version", "must be at least 1"));
    }
    check_weights(document, &mut problems);
    check_teams(&document.teams, &mut problems);
    check_classes(&document.classes, &mut problems);
    problems
}

fn check_weights(document: &Environment, problems: &mut Vec<Problem>) {
    let weights = document.weights;
    let named = [
        ("weights.tail_latency", weights.tail_latency),
        ("weights.throughput", weights.throughput),
        ("weights.evictions", weights.evictions),
    ];
    for (field, weight) in named {
        check_range(field, weight, problems);
    }
}

fn check_range(field: &str, value: f64, problems: &mut Vec<Problem>) {
    if !(0.0..=1_000.0).contains(&value) {
        problems.push(Problem::new(field, format!("`{value}` is not in the range from 0 to 1000")));
    }
}

fn check_teams(teams: &[Team], problems: &mut Vec<Problem>) {
    check_unique("teams", teams.iter().map(|team| &team.name), problems);
    for (i, team) in teams.iter().enumerate() {
        if team.share == 0 {
            problems.push(Problem::new(format!("teams[{i}].share"), "must be at least 1"));
        }
    }
}

fn check_classes(classes: &[Class], problems: &mut Vec<Problem>) {
    check_unique("classes", classes.iter().map(|class| &class.name), problems);
    for (i, class) in classes.iter().enumerate() {
        match &class.kind {
            ClassKind::Prompt(prompt) => check_prompt(i, prompt, problems),
            ClassKind::Batch(batch) => {
                check_batch(&format!("classes[{i}].kind.batch"), batch, problems);
            }
            ClassKind::Standing(batch) => {
                check_batch(&format!("classes[{i}].kind.standing"), batch, problems);
            }
        }
    }
}

fn check_prompt(i: usize, prompt: &PromptClass, problems: &mut Vec<Problem>) {
    let field = format!("classes[{i}].kind.prompt");
    let deadline = Duration::from(prompt.deadline);
    if deadline.is_zero() || deadline > PromptClass::MAX_DEADLINE {
        problems.push(Problem::new(format!("{field}.deadline"), "must be from 1us to 30s"));
    }
    if prompt.queue_limit == 0 {
        problems.push(Problem::new(format!("{field}.queue_limit"), "must be at least 1"));
    }
}

fn check_batch(field: &str, batch: &BatchClass, problems: &mut Vec<Problem>) {
    if batch.size == size::Resources::ZERO {
        problems.push(Problem::new(
            format!("{field}.size"),
            "must request cores, memory or accelerators",
        ));
    }
    if batch.failure_limit == 0 {
        problems.push(Problem::new(format!("{field}.failure_limit"), "must be at least 1"));
    }
    check_range(&format!("{field}.eviction_price"), batch.eviction_price, problems);
}

fn check_unique<'a, I, N>(field: &str, names: I, problems: &mut Vec<Problem>)
where
    I: Iterator<Item = &'a N>,
    N: Eq + hash::Hash + fmt::Display + 'a,
{
    let mut seen = HashSet::new();
    for (i, name) in names.enumerate() {
        if !seen.insert(name) {
            problems.push(Problem::new(
                format!("{field}[{i}].name"),
                format!("`{name}` is used more than once"),
            ));
        }
    }
}
