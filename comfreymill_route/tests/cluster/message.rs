use comfreymill_route::grant;
use comfreymill_route::router;
use comfreymill_types::time;

/// Attempt of a request sent to an executor.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Attempt {
    pub(super) entry: usize,
    pub(super) incarnation: u64,
    pub(super) request: u64,
    pub(super) number: u32,
    pub(super) unrepeatable: bool,
    pub(super) sent_at: time::Monotonic,
}

/// Event scheduled at a point in simulated time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    EntryTick {
        entry: usize,
        incarnation: u64,
    },
    EntryHeartbeat {
        entry: usize,
        incarnation: u64,
    },
    LeaderTick {
        term: u64,
    },
    Announce {
        executor: usize,
    },
    Submit {
        entry: usize,
    },
    Heartbeat(grant::Heartbeat, time::Monotonic),
    Table {
        entry: usize,
        incarnation: u64,
        table: Option<router::Table>,
        lease_until: Option<time::Monotonic>,
    },
    Commit {
        term: u64,
        changes: Vec<grant::GrantChange>,
    },
    Arrive {
        executor: usize,
        attempt: Attempt,
    },
    RunEnds {
        executor: usize,
        incarnation: u64,
        attempt: Attempt,
    },
    Outcome {
        attempt: Attempt,
        outcome: router::Outcome,
    },
    Settled {
        attempt: Attempt,
    },
    Probed {
        entry: usize,
        incarnation: u64,
        executor: usize,
        is_healthy: bool,
    },
    EntryStarts {
        entry: usize,
    },
    ExecutorStarts {
        executor: usize,
    },
    Fault,
}
