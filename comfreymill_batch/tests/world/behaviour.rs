/// What the program of a task does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Behaviour {
    /// Units of work, one a second at full speed.
    pub(crate) units: u32,
    /// Units between checkpoints; none if it takes none by itself.
    pub(crate) checkpoint_every: Option<u32>,
    /// Whether it obeys a request for a checkpoint.
    pub(crate) can_checkpoint: bool,
    /// Whether it fails after its first unit.
    pub(crate) fails: bool,
}
