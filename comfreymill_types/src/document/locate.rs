use super::Problem;
use crate::yaml;

/// Adds the line and column to each problem that has none, and sorts the problems by location.
///
/// The location is that of the problem's field in `text`, or of its nearest existing ancestor if
/// the field is absent. Problems are returned unchanged if `text` is not YAML.
pub fn locate_problems(text: &[u8], problems: Vec<Problem>) -> Vec<Problem> {
    let Ok(node) = yaml::Node::parse(text) else { return problems };
    let mut problems = problems;
    for problem in &mut problems {
        problem.location =
            problem.location.or_else(|| Some(node.find_nearest(&problem.field).get_location()));
    }
    problems.sort_by_key(|problem| problem.location);
    problems
}
