use super::Problem;
use crate::yaml;

/// Gives each problem without a place the place of its field in the text, in the text's order.
///
/// A field that is not in the text gets the place of the closest field above it.
pub fn place_problems(text: &[u8], problems: Vec<Problem>) -> Vec<Problem> {
    let Ok(node) = yaml::Node::parse(text) else { return problems };
    let mut problems = problems;
    for problem in &mut problems {
        problem.place = problem.place.or_else(|| Some(node.find(&problem.field).get_place()));
    }
    problems.sort_by_key(|problem| problem.place);
    problems
}
