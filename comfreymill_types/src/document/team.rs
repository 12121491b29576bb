use crate::id;
use crate::size;

/// Team with its resource quota and fair-share weight.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name, unique in the document.
    pub name: id::TeamName,
    /// Maximum resources that the team's batch tasks may hold at once; `None` means unlimited.
    #[serde(default)]
    pub quota: Option<size::Resources>,
    /// Weight in fair-share scheduling.
    #[serde(default = "default_share")]
    pub share: u32,
}

fn default_share() -> u32 {
    1
}
