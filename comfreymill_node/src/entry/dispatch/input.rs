use comfreymill_route::router;
use comfreymill_types::id;
use comfreymill_types::time;

use super::{ClassView, DispatchStatus, DispatchStep};
use crate::protocol;

/// Message to the dispatcher.
#[derive(Debug)]
pub(super) enum Input {
    /// Submits a request.
    Submit {
        stage_key: protocol::EnvironmentStage,
        view: router::RequestView,
        steps: flume::Sender<DispatchStep>,
    },
    /// Reports the outcome of an attempt.
    Finished {
        stage_key: protocol::EnvironmentStage,
        request: u64,
        attempt: u32,
        outcome: router::Outcome,
    },
    /// Reports that an attempt of unknown outcome no longer runs at its executor.
    Resolved { stage_key: protocol::EnvironmentStage, request: u64, attempt: u32 },
    /// Reports the result of a health probe.
    Probed { stage_key: protocol::EnvironmentStage, executor: id::ExecutorName, is_healthy: bool },
    /// Applies state that the leader pushed.
    Push(protocol::Push),
    /// Renews the lease until the given time.
    LeaseRenewed { until: time::Monotonic, lease: protocol::EntryLease },
    /// Marks the process as not ready; it will stop soon.
    MarkNotReady,
    /// Refuses new requests; the process is stopping.
    Drain,
    /// Asks for the status.
    Status(flume::Sender<DispatchStatus>),
    /// Asks for a class of the document in force.
    Class {
        stage_key: protocol::EnvironmentStage,
        class: id::ClassName,
        team: Option<id::TeamName>,
        reply: flume::Sender<Option<ClassView>>,
    },
    /// Asks for the decisions on the latest requests, or on one.
    Decisions { request: Option<u64>, reply: flume::Sender<Vec<router::Decision>> },
    /// Asks for the heartbeat to send.
    Heartbeat(flume::Sender<protocol::EntryHeartbeat>),
}
