use super::input::Input;
use super::sessions::Sessions;
use crate::scheduler::orders::Connections;
use crate::scheduler::turns;

/// What the process keeps beside its replica.
///
/// A replica that the group has removed is replaced by a new one within the same process, whose
/// connections stay open. The core of the new replica takes this over, so that it informs connected
/// processes of the leader, answers their calls, and counts the connections to workers that are
/// still open.
#[derive(Debug)]
pub(in crate::scheduler) struct ProcessState {
    pub(super) sessions: Sessions,
    /// Connections to workers; those of an earlier leadership may still be open.
    pub(super) worker_connections: Connections,
    /// Whether the process is stopping.
    pub(super) is_draining: bool,
    /// Inputs that were not handled yet.
    pub(super) backlog: turns::Backlog<Input>,
}

impl ProcessState {
    /// Creates the state of a process that has no connections and may open `worker_connections` to
    /// workers.
    pub(in crate::scheduler) fn new(worker_connections: usize) -> Self {
        Self {
            sessions: Sessions::default(),
            worker_connections: Connections::new(worker_connections),
            is_draining: false,
            backlog: turns::Backlog::default(),
        }
    }
}
