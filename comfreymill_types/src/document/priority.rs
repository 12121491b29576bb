/// Order in which waiting work is served; a greater one goes first.
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
    /// Waits for all others.
    Low,
    /// Usual work.
    #[default]
    Normal,
    /// Ahead of usual work.
    High,
    /// Ahead of everything.
    Urgent,
}
