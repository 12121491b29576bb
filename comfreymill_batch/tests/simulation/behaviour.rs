/// Behaviour of a task's program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Behaviour {
    /// Units of work, one per second at full speed.
    pub(crate) units: u32,
    /// Units between checkpoints; `None` if it takes a checkpoint only on request.
    pub(crate) checkpoint_every: Option<u32>,
    /// Whether it takes a checkpoint on request.
    pub(crate) can_checkpoint: bool,
    /// Whether it fails after its first unit.
    pub(crate) fails: bool,
}
