use comfreymill_route::grant;
use comfreymill_route::router;

/// Attempt to serve a request, identified by entry, request and number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Attempt {
    pub(super) entry: usize,
    pub(super) request: u64,
    pub(super) number: u32,
}

/// Event at a point in virtual time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Arrival { entry: usize },
    Start { executor: usize, attempt: Attempt },
    End { executor: usize, attempt: Attempt, status: u16 },
    Outcome { attempt: Attempt, sent_at: u64, status: u16 },
    NothingSent { attempt: Attempt },
    NoAnswer { attempt: Attempt },
    Deadline { entry: usize, request: u64 },
    Probed { entry: usize, executor: usize },
    Tick { entry: usize },
    HeartbeatDue { entry: usize },
    Heartbeat { heartbeat: grant::Heartbeat },
    Table { entry: usize, table: router::Table },
    Commit { changes: Vec<grant::GrantChange> },
    LeaderTick,
    Announce { executor: usize },
    Lose { executor: usize },
}
