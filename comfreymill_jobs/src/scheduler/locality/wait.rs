use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_types::time;

use super::LocalityCounts;
use super::decision::Case;
use super::durations::Durations;
use super::forecast::Forecast;
use super::racks::Racks;
use super::remote_factor::RemoteFactor;
use crate::id;
use crate::worker;

/// Time for which a forecast of a rack is used; all waits are weighed again afterwards.
const FORECAST_PERIOD: Duration = Duration::from_millis(50);
/// Maximum number of log lines on waits in each second.
const MAX_LINES: u32 = 20;

/// State of the decisions on near places; the leader's memory only.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Locality {
    pub(super) factor: Option<RemoteFactor>,
    pub(super) racks: Racks,
    pub(super) durations: Durations,
    pub(super) counts: LocalityCounts,
    /// Views of the racks that tasks were refused by, since the last renewal.
    pub(super) views: BTreeMap<String, RackView>,
    /// Racks on which steps that are rack-sensitive are to run; `None` for steps that run anywhere.
    pub(super) groups: BTreeMap<id::StepId, Option<String>>,
    /// Steps with tasks that wait, or that were given up while they are ready.
    pub(super) waits: BTreeMap<id::StepId, Wait>,
    /// When the views were last renewed; `None` if they have to be.
    renewed_at: Option<time::Monotonic>,
    lines: (u64, u32),
}

/// What is known of a rack for a moment.
#[derive(Debug, Default)]
pub(super) struct RackView {
    pub(super) forecast: Forecast,
    /// Needs for which no worker had room in this placement round.
    pub(super) full: Vec<worker::Resources>,
    /// Time until which the tasks of each step wait; `None` for those that do not.
    pub(super) verdicts: BTreeMap<id::StepId, Option<time::Monotonic>>,
}

/// Wait of a step's ready tasks for their rack.
#[derive(Clone, Debug)]
pub(super) struct Wait {
    pub(super) rack: String,
    pub(super) since: time::Monotonic,
    pub(super) is_given_up: bool,
    /// What the latest decision was made from.
    pub(super) case: Case,
}

/// Wait of a step's ready tasks for their rack, as operators are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitStatus {
    /// Step whose tasks wait.
    pub step: id::StepId,
    /// Rack that they wait for.
    pub rack: String,
    /// Time since when they wait.
    pub waited: Duration,
    /// Time for which they are still expected to wait.
    pub expected: Duration,
    /// Extra time that they would take elsewhere.
    pub extra: Duration,
}

impl Locality {
    /// Creates the state; without a factor, tasks go anywhere.
    pub(in crate::scheduler) fn new(factor: Option<RemoteFactor>) -> Self {
        Self { factor, ..Self::default() }
    }

    /// Notes that workers have come, gone, or changed; waits are weighed again at once.
    pub(in crate::scheduler) fn workers_changed(&mut self) {
        self.racks.invalidate();
        self.renewed_at = None;
    }

    /// Notes that a round of placement begins, before which places may have become free.
    pub(in crate::scheduler) fn round_begins(&mut self) {
        for view in self.views.values_mut() {
            view.full.clear();
        }
    }

    /// Returns whether the views are out of date, and notes that they are renewed.
    pub(super) fn begin_renewal(&mut self, now: time::Monotonic) -> bool {
        if self.renewed_at.is_some_and(|at| now.since(at) < FORECAST_PERIOD) {
            return false;
        }
        self.renewed_at = Some(now);
        self.views.clear();
        self.groups.clear();
        true
    }

    /// Notes that the ready tasks of a step wait, for which `case` holds.
    pub(super) fn wait(&mut self, now: time::Monotonic, step: id::StepId, rack: &str, case: Case) {
        if let Some(wait) = self.waits.get_mut(&step) {
            wait.case = case;
            return;
        }
        self.counts.waits += 1;
        if self.may_log(now) {
            let Case { opening, extra, slack, .. } = case;
            let opening = opening.unwrap_or_default();
            log::info!(target: "runs", job:% = step.job, step = step.step, rack, expected_ms = millis(opening.expected), latest_ms = millis(opening.latest), extra_ms = millis(extra), slack_ms:? = slack.map(millis); "a step waits for its rack");
        }
        let wait = Wait { rack: rack.to_owned(), since: now, is_given_up: false, case };
        self.waits.insert(step, wait);
    }

    /// Notes that a step does not wait any longer, if it did.
    pub(super) fn give_up(&mut self, now: time::Monotonic, step: id::StepId, reason: &str) {
        let Some(wait) = self.waits.get_mut(&step).filter(|wait| !wait.is_given_up) else {
            return;
        };
        wait.is_given_up = true;
        let (rack, waited) = (wait.rack.clone(), now.since(wait.since));
        self.counts.waited += waited;
        if self.may_log(now) {
            log::info!(target: "runs", job:% = step.job, step = step.step, rack:% = rack, waited_ms = millis(waited), outcome = "away", reason; "a step has stopped waiting for its rack");
        }
    }

    /// Counts a task that is started.
    pub(super) fn count(&mut self, is_near: bool) {
        if is_near {
            self.counts.near += 1;
        } else {
            self.counts.away += 1;
        }
    }

    /// Notes that the last ready task of a step is started.
    pub(super) fn all_started(&mut self, now: time::Monotonic, step: id::StepId) {
        let Some(wait) = self.waits.remove(&step).filter(|wait| !wait.is_given_up) else { return };
        let waited = now.since(wait.since);
        self.counts.waited += waited;
        if self.may_log(now) {
            log::info!(target: "runs", job:% = step.job, step = step.step, rack:% = wait.rack, waited_ms = millis(waited), outcome = "near"; "a step has stopped waiting for its rack");
        }
    }

    /// Returns whether another line may be logged in this second.
    fn may_log(&mut self, now: time::Monotonic) -> bool {
        let second = now.as_micros() / 1_000_000;
        if self.lines.0 != second {
            self.lines = (second, 0);
        }
        self.lines.1 += 1;
        self.lines.1 <= MAX_LINES
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
