use super::GrantKey;

/// Number of slots of an executor that an entry may use.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// Executor and entry of the grant.
    pub key: GrantKey,
    /// Number of granted slots; zero removes the grant.
    pub slots: u32,
    /// Version of the grant. A change takes effect only if its epoch is greater.
    pub epoch: u64,
}
