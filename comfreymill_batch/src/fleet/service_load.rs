use super::ServiceIndex;

/// Prompt service with executors on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ServiceLoad {
    pub(crate) service: ServiceIndex,
    /// Last measured slowdown, relative to running alone.
    pub(crate) slowdown: f64,
}
