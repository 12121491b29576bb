use std::fmt;

use comfreymill_types::document;
use comfreymill_types::id;

/// Idempotency key with its scope. Equal keys in different environments, stages or teams are
/// independent.
#[derive(
    Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct RequestKey {
    /// Environment of the class.
    pub environment: id::EnvironmentName,
    /// Stage of the environment.
    pub stage: document::Stage,
    /// Team of the caller; `None` for callers without a team.
    pub team: Option<id::TeamName>,
    /// Key that the caller chose.
    pub key: id::IdempotencyKey,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/", self.environment, self.stage)?;
        if let Some(team) = &self.team {
            write!(f, "{team}/")?;
        }
        write!(f, "{}", self.key)
    }
}
