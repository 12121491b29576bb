use std::fmt;

use comfreymill_types::document;
use comfreymill_types::id;

/// One stage of an environment.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct EnvironmentStage {
    /// Name of the environment.
    pub environment: id::EnvironmentName,
    /// Stage of the environment.
    pub stage: document::Stage,
}

impl fmt::Display for EnvironmentStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.environment, self.stage)
    }
}
