//! Functions that record the metrics.

use std::time::Duration;

use comfreymill_jobs::scheduler;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;

use super::metric;

const NO_TEAM: &str = "none";

/// Team and class to which a request or task belongs.
#[derive(Clone, Copy, Debug)]
pub struct Tenant<'a> {
    /// Team, if any.
    pub team: Option<&'a id::TeamName>,
    /// Class of the request or task.
    pub class: &'a id::ClassName,
}

impl Tenant<'_> {
    fn labels(&self) -> [(&'static str, String); 2] {
        let team = self.team.map_or(NO_TEAM, id::TeamName::as_str);
        [("team", team.to_owned()), ("class", self.class.as_str().to_owned())]
    }
}

/// Direction of traffic on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From this process.
    Sent,
    /// To this process.
    Received,
}

impl Direction {
    fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// Records the time from the head of a request to the end of its answer.
pub fn request_latency(tenant: Tenant<'_>, span: Duration) {
    metrics::histogram!(metric::REQUEST_LATENCY.name, &tenant.labels()).record(span);
}

/// Records the time for which a request or task waited before it was sent or started.
pub fn queue_wait(tenant: Tenant<'_>, span: Duration) {
    metrics::histogram!(metric::QUEUE_WAIT.name, &tenant.labels()).record(span);
}

/// Records the slots in use at the chosen executor.
pub fn slots_in_use(tenant: Tenant<'_>, slots: u32) {
    metrics::histogram!(metric::SLOTS_IN_USE.name, &tenant.labels()).record(slots);
}

/// Counts a request by whether it was run.
pub fn request(tenant: Tenant<'_>, outcome: error::RunState) {
    let [team, class] = tenant.labels();
    let labels = [team, class, ("outcome", outcome.to_string())];
    metrics::counter!(metric::REQUESTS.name, &labels).increment(1);
}

/// Counts the starts and waits of tasks that are faster on one rack.
pub fn locality(counts: scheduler::LocalityCounts) {
    if counts == scheduler::LocalityCounts::default() {
        return;
    }
    metrics::counter!(metric::RACK_STARTS.name, "place" => "near").increment(counts.near);
    metrics::counter!(metric::RACK_STARTS.name, "place" => "away").increment(counts.away);
    metrics::counter!(metric::RACK_WAITS.name).increment(counts.waits);
    let waited_ms = u64::try_from(counts.waited.as_millis()).unwrap_or(u64::MAX);
    metrics::counter!(metric::RACK_WAIT_TIME.name).increment(waited_ms);
}

/// Counts a decision of a part; both arguments come from closed lists.
pub fn decision(part: &'static str, decision: &'static str) {
    metrics::counter!(metric::DECISIONS.name, "part" => part, "decision" => decision).increment(1);
}

/// Counts a refusal of a part.
pub fn refusal(part: &'static str, kind: error::ErrorKind) {
    metrics::counter!(metric::REFUSALS.name, "part" => part, "kind" => kind.as_str()).increment(1);
}

/// Counts an eviction.
pub fn eviction(tenant: Tenant<'_>) {
    metrics::counter!(metric::EVICTIONS.name, &tenant.labels()).increment(1);
}

/// Counts an answer that matched no open request.
pub fn unmatched_answer() {
    metrics::counter!(metric::UNMATCHED_ANSWERS.name).increment(1);
}

/// Returns the counter of the bytes exchanged with `peer`, the name of a process in its settings.
pub fn peer_bytes(peer: &str, direction: Direction) -> metrics::Counter {
    let labels = [("peer", peer.to_owned()), ("direction", direction.as_str().to_owned())];
    metrics::counter!(metric::PEER_BYTES.name, &labels)
}

/// Returns the counter of the bytes sent over the link between two regions.
pub fn link_bytes(from: &str, to: &str) -> metrics::Counter {
    let labels = [("from", from.to_owned()), ("to", to.to_owned())];
    metrics::counter!(metric::LINK_BYTES.name, &labels)
}

/// Sets the number of requests of an environment that have not ended, and of those that wait.
pub fn open_requests(
    environment: &id::EnvironmentName,
    stage: document::Stage,
    open: usize,
    queued: usize,
) {
    let labels = [("environment", environment.to_string()), ("stage", stage.to_string())];
    metrics::gauge!(metric::OPEN_REQUESTS.name, &labels).set(open as f64);
    metrics::gauge!(metric::QUEUED_REQUESTS.name, &labels).set(queued as f64);
}

/// Sets the version of an environment document that is in force in this process.
pub fn version_in_force(
    environment: &id::EnvironmentName,
    stage: document::Stage,
    version: id::Version,
) {
    let labels = [("environment", environment.to_string()), ("stage", stage.to_string())];
    metrics::gauge!(metric::VERSION_IN_FORCE.name, &labels).set(version.get() as f64);
}

/// Counts a request about jobs and records the time to its answer.
pub fn job_request(method: &'static str, outcome: &'static str, span: Duration) {
    let labels = [("method", method), ("outcome", outcome)];
    metrics::counter!(metric::JOB_REQUESTS.name, &labels).increment(1);
    metrics::histogram!(metric::JOB_REQUEST_LATENCY.name, "method" => method).record(span);
}

/// Counts an order to a worker and records the time to its answer.
pub fn order(kind: &'static str, outcome: &'static str, span: Duration) {
    let labels = [("kind", kind), ("outcome", outcome)];
    metrics::counter!(metric::ORDERS.name, &labels).increment(1);
    metrics::histogram!(metric::ORDER_LATENCY.name, "kind" => kind).record(span);
}

/// Records the time that an order waited for earlier orders to the same worker.
pub fn order_queue_wait(kind: &'static str, span: Duration) {
    metrics::histogram!(metric::ORDER_QUEUE_WAIT.name, "kind" => kind).record(span);
}

/// Records the time that an order waited for a connection to its worker.
pub fn order_connection_wait(kind: &'static str, span: Duration) {
    metrics::histogram!(metric::ORDER_CONNECTION_WAIT.name, "kind" => kind).record(span);
}

/// Records the time from the proposal of commands to their commit.
pub fn commit(span: Duration) {
    metrics::histogram!(metric::COMMIT_LATENCY.name).record(span);
}

/// Sets the number of availability zones that are evacuated.
pub fn evacuated_zones(count: usize) {
    metrics::gauge!(metric::EVACUATED_ZONES.name).set(count as f64);
}

/// Sets the number of runs left in a zone.
pub fn evacuated_zone_runs(zone: &id::ZoneName, runs: u64) {
    let labels = [("zone", zone.to_string())];
    metrics::gauge!(metric::EVACUATED_ZONE_RUNS.name, &labels).set(runs as f64);
}

/// Numbers of members of the group, as a scheduler knows them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GroupCounts {
    /// Voters that the group should have; 0 unless the process leads.
    pub wanted: usize,
    /// Voters that answer; 0 unless the process leads.
    pub answering: usize,
    /// Learners; 0 unless the process leads.
    pub learners: usize,
    /// Votes that are missing to a quorum.
    pub missing: usize,
}

/// Sets the numbers of members of the group.
pub fn group(counts: GroupCounts) {
    metrics::gauge!(metric::GROUP_VOTERS_WANTED.name).set(counts.wanted as f64);
    metrics::gauge!(metric::GROUP_VOTERS_ANSWERING.name).set(counts.answering as f64);
    metrics::gauge!(metric::GROUP_LEARNERS.name).set(counts.learners as f64);
    metrics::gauge!(metric::GROUP_VOTES_MISSING.name).set(counts.missing as f64);
}
