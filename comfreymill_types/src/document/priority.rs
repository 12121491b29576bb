/// Priority of queued work; a greater priority is served first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Served after all other priorities.
    Low,
    /// Default priority.
    #[default]
    Normal,
    /// Served before [`Priority::Normal`].
    High,
    /// Served before all other priorities.
    Urgent,
}
