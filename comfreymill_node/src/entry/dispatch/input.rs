use comfreymill_route::router;
use comfreymill_types::id;
use comfreymill_types::time;

use super::{ClassView, DispatchOrder, DispatchStatus};
use crate::protocol;

/// Message to the dispatcher.
#[derive(Debug)]
pub(super) enum Input {
    /// A request came.
    Submit {
        desk: protocol::DeskKey,
        view: router::RequestView,
        orders: flume::Sender<DispatchOrder>,
    },
    /// An attempt ended.
    Finished { desk: protocol::DeskKey, request: u64, attempt: u32, outcome: router::Outcome },
    /// An attempt of unknown end is known to be over.
    Settled { desk: protocol::DeskKey, request: u64, attempt: u32 },
    /// A probe ended.
    Probed { desk: protocol::DeskKey, executor: id::ExecutorName, is_healthy: bool },
    /// The leader sent state.
    Push(protocol::Push),
    /// The leader renewed the lease.
    Leased { until: time::Monotonic, lease: protocol::EntryLease },
    /// The process will stop soon.
    Unready,
    /// The process is stopping.
    Drain,
    /// Somebody asks for the state.
    Show(flume::Sender<DispatchStatus>),
    /// Somebody asks for the class of a desk.
    Class {
        desk: protocol::DeskKey,
        class: id::ClassName,
        team: Option<id::TeamName>,
        reply: flume::Sender<Option<ClassView>>,
    },
    /// Somebody asks for the latest decisions on requests, or for that on one.
    Decisions { request: Option<u64>, reply: flume::Sender<Vec<router::Decision>> },
    /// Somebody asks for the heartbeat to send.
    Heartbeat(flume::Sender<protocol::EntryHeartbeat>),
}
