use super::GrantKey;

/// Slots of one executor that one entry may use.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Executor and entry.
    pub key: GrantKey,
    /// Slots granted; none removes the grant.
    pub slots: u32,
    /// Rises with each change of the grant.
    pub epoch: u64,
}
