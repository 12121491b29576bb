/// What goes wrong, as chances in 1,000 at each opportunity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// A message is lost.
    pub(crate) lose: u32,
    /// A message arrives twice.
    pub(crate) double: u32,
    /// Longest delay of a message, in milliseconds.
    pub(crate) delay_millis: u64,
    /// A worker restarts, at each step.
    pub(crate) restart: u32,
    /// A worker is cut off for a while, at each step.
    pub(crate) cut: u32,
    /// The leader changes, at each step.
    pub(crate) leader: u32,
    /// A proposal is lost.
    pub(crate) proposal: u32,
}
