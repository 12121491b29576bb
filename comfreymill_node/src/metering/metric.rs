//! Names, units and help of all metrics.

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Monotonically increasing sum.
    Counter,
    /// Current value.
    Gauge,
    /// Distribution over buckets with these upper bounds.
    Histogram(&'static [f64]),
}

/// Name, unit, help and kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Metric {
    /// Name of the metric.
    pub name: &'static str,
    /// Unit of the values.
    pub unit: metrics::Unit,
    /// Help text.
    pub help: &'static str,
    /// Kind of the metric.
    pub kind: Kind,
}

const LATENCY_BOUNDS_SECONDS: &[f64] = &[
    0.000_5, 0.001, 0.002, 0.003, 0.005, 0.007_5, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15,
    0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0,
];
const WAIT_BOUNDS_SECONDS: &[f64] = &[
    0.000_1, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0, 10.0, 30.0, 60.0, 300.0, 900.0, 3_600.0,
    14_400.0, 86_400.0,
];
const SLOT_BOUNDS: &[f64] = &[0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 16.0, 32.0, 64.0];

const fn counter(name: &'static str, unit: metrics::Unit, help: &'static str) -> Metric {
    Metric { name, unit, help, kind: Kind::Counter }
}

const fn gauge(name: &'static str, help: &'static str) -> Metric {
    Metric { name, unit: metrics::Unit::Count, help, kind: Kind::Gauge }
}

const fn histogram(
    name: &'static str,
    unit: metrics::Unit,
    help: &'static str,
    bounds: &'static [f64],
) -> Metric {
    Metric { name, unit, help, kind: Kind::Histogram(bounds) }
}

/// Time from the head of a request to the end of its answer, by team and class.
pub const REQUEST_LATENCY: Metric = histogram(
    "comfreymill_request_latency_seconds",
    metrics::Unit::Seconds,
    "Time from the head of a request to the end of its answer",
    LATENCY_BOUNDS_SECONDS,
);

/// Time for which a request or task waited before it was sent or started, by team and class.
pub const QUEUE_WAIT: Metric = histogram(
    "comfreymill_queue_wait_seconds",
    metrics::Unit::Seconds,
    "Time for which a request or task waited before it was sent or started",
    WAIT_BOUNDS_SECONDS,
);

/// Slots in use at the chosen executor, by team and class.
pub const SLOTS_IN_USE: Metric = histogram(
    "comfreymill_slots_in_use",
    metrics::Unit::Count,
    "Slots in use at the chosen executor when a request was sent",
    SLOT_BOUNDS,
);

/// Number of requests by team, class and outcome.
pub const REQUESTS: Metric = counter(
    "comfreymill_requests_total",
    metrics::Unit::Count,
    "Requests by what is known of their run: run, not-run, unknown",
);

/// Number of decisions by part and decision.
pub const DECISIONS: Metric = counter(
    "comfreymill_decisions_total",
    metrics::Unit::Count,
    "Decisions by the part that took them",
);

/// Number of refusals by part and error kind.
pub const REFUSALS: Metric =
    counter("comfreymill_refusals_total", metrics::Unit::Count, "Refusals by kind of error");

/// Number of evictions by team and class.
pub const EVICTIONS: Metric =
    counter("comfreymill_evictions_total", metrics::Unit::Count, "Tasks evicted from their worker");

/// Number of answers that matched no open request.
pub const UNMATCHED_ANSWERS: Metric = counter(
    "comfreymill_unmatched_answers_total",
    metrics::Unit::Count,
    "Answers that were dropped since no open request was theirs",
);

/// Bytes exchanged with a peer, by peer and direction.
pub const PEER_BYTES: Metric = counter(
    "comfreymill_peer_bytes_total",
    metrics::Unit::Bytes,
    "Bytes exchanged with another process, by direction: sent, received",
);

/// Bytes sent over the link between two regions.
pub const LINK_BYTES: Metric = counter(
    "comfreymill_link_bytes_total",
    metrics::Unit::Bytes,
    "Bytes that crossed the link between regions",
);

/// Number of requests that have not ended, by environment and stage.
pub const OPEN_REQUESTS: Metric =
    gauge("comfreymill_open_requests", "Requests of callers that are not over");

/// Number of requests that wait for a slot, by environment and stage.
pub const QUEUED_REQUESTS: Metric =
    gauge("comfreymill_queued_requests", "Requests of callers that wait for a slot");

/// Version in force, by environment and stage.
pub const VERSION_IN_FORCE: Metric =
    gauge("comfreymill_version_in_force", "Version of the environment document in force here");

/// Number of requests about jobs, by method and outcome.
pub const JOB_REQUESTS: Metric = counter(
    "comfreymill_job_requests_total",
    metrics::Unit::Count,
    "Requests about jobs by method and outcome",
);

/// Time from the body of a request about jobs to its answer, by method.
pub const JOB_REQUEST_LATENCY: Metric = histogram(
    "comfreymill_job_request_latency_seconds",
    metrics::Unit::Seconds,
    "Time from the body of a request about jobs to its answer",
    LATENCY_BOUNDS_SECONDS,
);

/// Number of orders to workers, by kind and outcome.
pub const ORDERS: Metric = counter(
    "comfreymill_orders_total",
    metrics::Unit::Count,
    "Orders to workers by kind and outcome",
);

/// Time from the sending of an order to its answer, by kind.
pub const ORDER_LATENCY: Metric = histogram(
    "comfreymill_order_latency_seconds",
    metrics::Unit::Seconds,
    "Time from the sending of an order to a worker to its answer",
    LATENCY_BOUNDS_SECONDS,
);

/// Time from the decision on an order to its sending, by kind.
pub const ORDER_QUEUE_WAIT: Metric = histogram(
    "comfreymill_order_queue_wait_seconds",
    metrics::Unit::Seconds,
    "Time that an order to a worker waited for earlier orders before it was sent",
    LATENCY_BOUNDS_SECONDS,
);

/// Time for which an order waited for a connection to its worker, by kind.
pub const ORDER_CONNECTION_WAIT: Metric = histogram(
    "comfreymill_order_connection_wait_seconds",
    metrics::Unit::Seconds,
    "Time that an order waited for a connection to its worker",
    LATENCY_BOUNDS_SECONDS,
);

/// Time from the proposal of commands to their commit.
pub const COMMIT_LATENCY: Metric = histogram(
    "comfreymill_commit_latency_seconds",
    metrics::Unit::Seconds,
    "Time from the proposal of commands to their commit",
    LATENCY_BOUNDS_SECONDS,
);

/// Duration of a turn of the scheduler's loop.
pub const LOOP_TURN: Metric = histogram(
    "comfreymill_loop_turn_seconds",
    metrics::Unit::Seconds,
    "Duration of a turn of the scheduler's loop, during which nothing else is served",
    LATENCY_BOUNDS_SECONDS,
);

/// Time spent on one part of a turn of the scheduler's loop, by part.
pub const LOOP_PART: Metric = histogram(
    "comfreymill_loop_part_seconds",
    metrics::Unit::Seconds,
    "Time spent on one part of a turn of the scheduler's loop",
    LATENCY_BOUNDS_SECONDS,
);

/// Time from the arrival of an input of the scheduler's loop to its turn, by kind.
pub const LOOP_INPUT_WAIT: Metric = histogram(
    "comfreymill_loop_input_wait_seconds",
    metrics::Unit::Seconds,
    "Time from the arrival of an input of the scheduler's loop to its turn",
    LATENCY_BOUNDS_SECONDS,
);

/// Inputs of the scheduler's loop that wait for their turns, by kind.
pub const LOOP_BACKLOG: Metric =
    gauge("comfreymill_loop_backlog", "Inputs of the scheduler's loop that wait for their turns");

/// Time from the sending of a heartbeat by the leader of the group to the handling of the response.
pub const HEARTBEAT_ROUND_TRIP: Metric = histogram(
    "comfreymill_heartbeat_round_trip_seconds",
    metrics::Unit::Seconds,
    "Time from a heartbeat of the group's leader to the handling of the response",
    LATENCY_BOUNDS_SECONDS,
);

/// Number of availability zones that are evacuated.
pub const EVACUATED_ZONES: Metric =
    gauge("comfreymill_evacuated_zones", "Availability zones that are evacuated");

/// Number of runs left in a zone that is evacuated or gets its load back, by zone; set by the leader.
pub const EVACUATED_ZONE_RUNS: Metric = gauge(
    "comfreymill_evacuated_zone_runs",
    "Runs left in an availability zone that is evacuated or gets its load back",
);

/// Number of voters that the group should have; set by the leader.
pub const GROUP_VOTERS_WANTED: Metric =
    gauge("comfreymill_group_voters_wanted", "Voters that the group should have");

/// Number of voters that answer the leader, itself included; set by the leader.
pub const GROUP_VOTERS_ANSWERING: Metric =
    gauge("comfreymill_group_voters_answering", "Voters that answer the leader, with itself");

/// Number of learners; set by the leader.
pub const GROUP_LEARNERS: Metric =
    gauge("comfreymill_group_learners", "Members without a vote, which receive the log");

/// Number of votes that are missing to a quorum on a replica that has had no leader for long.
pub const GROUP_VOTES_MISSING: Metric = gauge(
    "comfreymill_group_votes_missing",
    "Votes missing to a quorum among the voters heard from, after 10 s without a leader",
);

/// Number of started tasks that are faster on one rack, by place: near, away.
pub const RACK_STARTS: Metric = counter(
    "comfreymill_rack_starts_total",
    metrics::Unit::Count,
    "Tasks that are faster on one rack, by whether they were started near it or away",
);

/// Number of steps that waited for their rack.
pub const RACK_WAITS: Metric =
    counter("comfreymill_rack_waits_total", metrics::Unit::Count, "Steps that waited for a rack");

/// Time for which steps waited for their rack.
pub const RACK_WAIT_TIME: Metric = counter(
    "comfreymill_rack_wait_milliseconds_total",
    metrics::Unit::Milliseconds,
    "Time for which steps waited for a rack",
);

/// All metrics.
pub const ALL: [Metric; 34] = [
    REQUEST_LATENCY,
    QUEUE_WAIT,
    SLOTS_IN_USE,
    REQUESTS,
    DECISIONS,
    REFUSALS,
    EVICTIONS,
    UNMATCHED_ANSWERS,
    PEER_BYTES,
    LINK_BYTES,
    OPEN_REQUESTS,
    QUEUED_REQUESTS,
    VERSION_IN_FORCE,
    JOB_REQUESTS,
    JOB_REQUEST_LATENCY,
    ORDERS,
    ORDER_LATENCY,
    ORDER_QUEUE_WAIT,
    ORDER_CONNECTION_WAIT,
    COMMIT_LATENCY,
    LOOP_TURN,
    LOOP_PART,
    LOOP_INPUT_WAIT,
    LOOP_BACKLOG,
    HEARTBEAT_ROUND_TRIP,
    EVACUATED_ZONES,
    EVACUATED_ZONE_RUNS,
    GROUP_VOTERS_WANTED,
    GROUP_VOTERS_ANSWERING,
    GROUP_LEARNERS,
    GROUP_VOTES_MISSING,
    RACK_STARTS,
    RACK_WAITS,
    RACK_WAIT_TIME,
];
