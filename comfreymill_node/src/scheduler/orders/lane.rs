/// How a connection of a worker is used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lane {
    /// For all orders of the queue.
    Kept,
    /// For stops only, opened on need and closed when none waits.
    Extra,
}
