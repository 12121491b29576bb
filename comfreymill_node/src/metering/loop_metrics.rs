use std::fmt;
use std::time::Duration;

use super::metric;

/// Metrics of a scheduler's loop.
///
/// The handles are kept, since looking them up for every input costs more than recording a value.
pub struct LoopMetrics {
    turn: metrics::Histogram,
    parts: Vec<metrics::Histogram>,
    waits: Vec<metrics::Histogram>,
    backlogs: Vec<metrics::Gauge>,
    heartbeat_round_trip: metrics::Histogram,
}

impl LoopMetrics {
    /// Creates the metrics of a loop with inputs of these kinds and turns of these parts.
    #[must_use]
    pub fn new(kinds: &[&'static str], parts: &[&'static str]) -> Self {
        let part =
            |part: &&'static str| metrics::histogram!(metric::LOOP_PART.name, "part" => *part);
        let wait = |kind: &&'static str| metrics::histogram!(metric::LOOP_INPUT_WAIT.name, "kind" => *kind);
        let backlog =
            |kind: &&'static str| metrics::gauge!(metric::LOOP_BACKLOG.name, "kind" => *kind);
        Self {
            turn: metrics::histogram!(metric::LOOP_TURN.name),
            parts: parts.iter().map(part).collect(),
            waits: kinds.iter().map(wait).collect(),
            backlogs: kinds.iter().map(backlog).collect(),
            heartbeat_round_trip: metrics::histogram!(metric::HEARTBEAT_ROUND_TRIP.name),
        }
    }

    /// Records the duration of a turn.
    pub fn turn(&self, span: Duration) {
        self.turn.record(span);
    }

    /// Records the time spent on a part of a turn, given by its position.
    pub fn turn_part(&self, part: usize, span: Duration) {
        if let Some(histogram) = self.parts.get(part) {
            histogram.record(span);
        }
    }

    /// Records how long an input of a kind, given by its position, waited for its turn.
    pub fn input_wait(&self, kind: usize, span: Duration) {
        if let Some(histogram) = self.waits.get(kind) {
            histogram.record(span);
        }
    }

    /// Records the time from a heartbeat to the handling of the response.
    pub fn heartbeat_round_trip(&self, span: Duration) {
        self.heartbeat_round_trip.record(span);
    }

    /// Sets the number of inputs of a kind, given by its position, that wait.
    pub fn backlog(&self, kind: usize, inputs: usize) {
        if let Some(gauge) = self.backlogs.get(kind) {
            gauge.set(inputs as f64);
        }
    }
}

impl fmt::Debug for LoopMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LoopMetrics")
    }
}
