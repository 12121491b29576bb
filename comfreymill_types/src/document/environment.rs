use super::{Class, Problem, Team, Weights, validate};
use crate::id;

/// Environment document: what may run where and with what priority.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Environment {
    /// Name of the environment.
    pub name: id::EnvironmentName,
    /// Version, greater than the one it replaces.
    pub version: id::Version,
    /// What the customer weighs.
    #[serde(default)]
    pub weights: Weights,
    /// Teams with their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Classes of requests and tasks.
    pub classes: Vec<Class>,
}

impl Environment {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// Every problem that was found, each with its field.
    pub fn parse(text: &[u8]) -> Result<Self, Vec<Problem>> {
        let text = str::from_utf8(text).map_err(|error| {
            vec![Problem::new(
                "",
                format!("the document is not UTF-8 at byte {}", error.valid_up_to()),
            )]
        })?;
        let document: Self = serde_saphyr::from_str(text).map_err(|error| {
            let place = error.location().map(|place| (place.line(), place.column()));
            vec![Problem { place, field: String::new(), message: error.to_string() }]
        })?;
        let problems = validate::validate(&document);
        if problems.is_empty() { Ok(document) } else { Err(problems) }
    }

    /// Class of this name.
    pub fn get_class(&self, name: &id::ClassName) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == *name)
    }

    /// Team of this name.
    pub fn get_team(&self, name: &id::TeamName) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == *name)
    }
}
