use crate::id;
use crate::size;

/// Team with its quota and share.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub name: id::TeamName,
    /// Most that the team's batch tasks may hold at once; none means no bound.
    #[serde(default)]
    pub quota: Option<size::Resources>,
    /// Weight in the fair share.
    #[serde(default = "default_share")]
    pub share: u32,
}

fn default_share() -> u32 {
    1
}
