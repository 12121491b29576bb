use std::time::Duration;

use super::{Class, Problem, Team, Weights, locate_problems, validate};
use crate::id;
use crate::yaml;

/// Environment document: what may run where, and with what priority.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Environment {
    /// Name of the environment.
    pub name: id::EnvironmentName,
    /// Version; must be greater than that of the document it replaces.
    pub version: id::Version,
    /// Weights of the scheduling objectives.
    #[serde(default)]
    pub weights: Weights,
    /// Teams with their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Classes of requests and tasks.
    pub classes: Vec<Class>,
}

impl Environment {
    /// Parses and validates a YAML document.
    ///
    /// # Errors
    ///
    /// Returns every problem found, each with its field.
    pub fn parse(text: &[u8]) -> Result<Self, Vec<Problem>> {
        let document: Self = yaml::from_text(text)?;
        let problems = validate::validate(&document);
        if problems.is_empty() { Ok(document) } else { Err(locate_problems(text, problems)) }
    }

    /// Returns the longest deadline of the prompt classes, or zero if there are none.
    pub fn get_longest_deadline(&self) -> Duration {
        let prompts = self.classes.iter().filter_map(Class::as_prompt);
        prompts.map(|prompt| prompt.deadline.get_duration()).max().unwrap_or_default()
    }

    /// Returns the class with this name.
    pub fn get_class(&self, name: &id::ClassName) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == *name)
    }

    /// Returns the team with this name.
    pub fn get_team(&self, name: &id::TeamName) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }
}
