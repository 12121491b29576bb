/// Faults to inject, each as a chance in 1,000 at each opportunity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// A message is lost.
    pub(crate) message_loss: u32,
    /// A message arrives twice.
    pub(crate) message_duplication: u32,
    /// Longest delay of a message, in milliseconds.
    pub(crate) delay_millis: u64,
    /// A worker restarts; drawn at each step.
    pub(crate) worker_restart: u32,
    /// A worker's messages are dropped for 1 to 40 seconds; drawn at each step.
    pub(crate) partition: u32,
    /// The leader changes; drawn at each step.
    pub(crate) leader_change: u32,
    /// A proposal is lost.
    pub(crate) proposal_loss: u32,
}
