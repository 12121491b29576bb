/// Faults to inject, each as a chance in 1,000 at each opportunity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// A message is lost.
    pub(crate) lose: u32,
    /// A message arrives twice.
    pub(crate) double: u32,
    /// Longest delay of a message, in milliseconds.
    pub(crate) delay_millis: u64,
    /// A worker restarts; drawn at each step.
    pub(crate) restart: u32,
    /// A worker's messages are dropped for 1 to 40 seconds; drawn at each step.
    pub(crate) cut: u32,
    /// The leader changes; drawn at each step.
    pub(crate) leader: u32,
    /// A proposal is lost.
    pub(crate) proposal: u32,
}
