use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_types::time;

use super::clock_reading;
use super::crashes::CrashCandidate;
use super::interference::ImageId;
use super::run::{RunEntry, RunPhase};
use super::worker_clock::WorkerClock;
use super::{Acknowledgement, Config};
use crate::id;
use crate::job;
use crate::state;
use crate::worker;

/// Time after which a worker that has never answered is removed; if it is one, it announces itself
/// again.
const MAX_UNANSWERED_TIME: Duration = Duration::from_secs(60);

/// Leader's state of a worker incarnation.
#[derive(Debug)]
pub(super) struct WorkerEntry {
    pub(super) replicated: state::Worker,
    /// Latest announcement, or the incarnation's first one if this leader has received none.
    pub(super) announcement: worker::Announcement,
    /// Whether the worker has announced itself to this leader.
    pub(super) has_announced: bool,
    /// Sequence number of the announcement that said that the worker is leaving, once that is in the
    /// log.
    pub(super) leaving_since: Option<u64>,
    /// Whether the worker has said that it ends now.
    pub(super) has_departed: bool,
    /// Time of the worker's last report.
    pub(super) reported_at: time::Monotonic,
    /// Whether the worker has answered a poll of this leader.
    pub(super) has_answered: bool,
    /// Whether the worker did not answer the latest poll.
    pub(super) is_unresponsive: bool,
    /// Whether the incarnation is gone; ends that it reported may not be committed yet.
    pub(super) is_gone: bool,
    /// Whether another incarnation of the worker may have got orders that were meant for this one.
    pub(super) has_successor: bool,
    /// When the next incarnation was asked for its first report, if it has reported.
    pub(super) next_asked_at: Option<time::Monotonic>,
    /// Whether orders that were meant for an earlier incarnation may have granted this one the longest
    /// lease, on a clock that has begun anew.
    pub(super) is_restarted: bool,
    /// Time until which an order with a lease that was not answered may still be carried out.
    pub(super) late_order_until: time::Monotonic,
    /// Whether ends that the worker reported are being committed to the log.
    pub(super) has_uncommitted_ends: bool,
    /// Rows of the latest report that could not be read.
    pub(super) unread: worker::Unread,
    /// Number of the last end that could not be read in the latest two reports; 0 if there is none.
    pub(super) skippable_end: u64,
    /// Number of the last end that is skipped, since it cannot be read.
    pub(super) skipped_end: u64,
    /// Whether the crash of the worker is being committed to the log.
    pub(super) has_uncommitted_crash: bool,
    /// Time since which the worker has not answered.
    pub(super) silent_since: Option<time::Monotonic>,
    /// Whether the worker was lost at that very time, since its connection failed then.
    pub(super) is_silence_exact: bool,
    /// Time by which the next incarnation had begun, if one is known.
    pub(super) next_began_by: Option<time::Monotonic>,
    /// Time at which this leader registered the worker; `None` if an earlier leader did.
    pub(super) registered_at: Option<time::Monotonic>,
    /// Time of the last start.
    pub(super) started_at: Option<time::Monotonic>,
    /// Time until which other starts avoid the worker, because of a task that may crash it.
    pub(super) apart_until: time::Monotonic,
    /// Runs that ended with the worker's lease since its last answer.
    pub(super) lapsed: Vec<CrashCandidate>,
    /// Runs that are in progress, being started or being stopped on the worker, by task.
    pub(super) runs: BTreeMap<id::TaskId, RunEntry>,
    /// Resources that the runs reserve, and tasks that are about to move here.
    pub(super) reserved: worker::Resources,
    /// Part of them that long-running runs reserve which are not being stopped.
    pub(super) lasting: worker::Resources,
    /// Estimated processor time that the runs use, in thousandths of a core.
    pub(super) used_cpu: i64,
    /// Number of serving tasks on the worker, by image.
    pub(super) serving: BTreeMap<ImageId, u32>,
    /// Number of fillers on the worker.
    pub(super) fillers: u32,
    /// How much slack each serving image may lose, with all fillers at full speed, before fillers
    /// would be slowed down; `None` if it has to be computed again.
    pub(super) headroom: Option<Vec<(ImageId, f64)>>,
    /// Number of changes of the runs, their paces, tails over targets, headroom or capacity, on which
    /// scores depend.
    pub(super) revision: u64,
    /// Whether a tail latency on the worker exceeds its target.
    pub(super) has_tail_over_target: bool,
    /// Whether the worker gets no tasks because its availability zone is evacuated, or was and the
    /// worker has to wait for its turn.
    pub(super) is_evacuated: bool,
    /// Whether capacity that becomes free is kept for a waiting long-running task.
    pub(super) is_held: bool,
    /// Time until which tasks that are as fast elsewhere avoid the worker, since others wait for its
    /// rack.
    pub(super) wanted_until: time::Monotonic,
    /// Time at which the poll in flight was sent, if there is one.
    pub(super) poll_sent_at: Option<time::Monotonic>,
    /// Time of the next poll.
    pub(super) next_poll_at: time::Monotonic,
    /// Latest time at which any lease granted so far ends.
    pub(super) lease_over_at: time::Monotonic,
    /// What is known of the worker's clock, once it has answered with a reading.
    pub(super) clock: Option<WorkerClock>,
    /// Time until which nothing is placed on the worker.
    pub(super) backoff_until: time::Monotonic,
    /// Number of failed runs since the last one that was done.
    pub(super) failures: u32,
    /// Time at which the pace of the worker's fillers was last changed.
    pub(super) paced_at: time::Monotonic,
}

impl WorkerEntry {
    /// Creates the entry of a worker that has not reported to this leader yet; an earlier leader
    /// may have granted it a lease that ends at `lease_over_at`. `leaving_since` is the sequence
    /// number of the announcement that said that it is leaving, if it is.
    pub(super) fn new(
        replicated: state::Worker,
        leaving_since: Option<u64>,
        lease_over_at: time::Monotonic,
        now: time::Monotonic,
    ) -> Self {
        let leaving_since = leaving_since.filter(|sequence| *sequence != state::ANY_ANNOUNCEMENT);
        // The clock reading of the first announcement is out of date.
        let announcement = worker::Announcement {
            leaving_in: leaving_since.map(|_| Duration::ZERO),
            clock_ms: None,
            ..replicated.announced.clone()
        };
        Self {
            replicated,
            announcement,
            has_announced: false,
            leaving_since,
            has_departed: false,
            reported_at: now,
            has_answered: false,
            is_unresponsive: false,
            is_gone: false,
            has_successor: false,
            next_asked_at: None,
            is_restarted: false,
            late_order_until: time::Monotonic::ZERO,
            has_uncommitted_ends: false,
            unread: worker::Unread::default(),
            skippable_end: 0,
            skipped_end: 0,
            has_uncommitted_crash: false,
            silent_since: None,
            is_silence_exact: false,
            next_began_by: None,
            registered_at: None,
            started_at: None,
            apart_until: time::Monotonic::ZERO,
            lapsed: Vec::new(),
            runs: BTreeMap::new(),
            reserved: worker::Resources::default(),
            lasting: worker::Resources::default(),
            used_cpu: 0,
            serving: BTreeMap::new(),
            fillers: 0,
            headroom: None,
            revision: 0,
            has_tail_over_target: false,
            is_evacuated: false,
            is_held: false,
            wanted_until: time::Monotonic::ZERO,
            poll_sent_at: None,
            next_poll_at: now,
            lease_over_at,
            clock: None,
            backoff_until: time::Monotonic::ZERO,
            failures: 0,
            paced_at: time::Monotonic::ZERO,
        }
    }

    /// Returns whether the worker's runs are known or have ended, and all ends that it reported are
    /// in the log.
    pub(super) fn has_known_runs(&self, now: time::Monotonic) -> bool {
        !self.has_uncommitted_ends
            && (self.has_answered || self.is_gone || now >= self.lease_over_at)
    }

    /// Returns whether the worker has announced itself to this leader and not answered it.
    pub(super) fn is_unanswered(&self) -> bool {
        self.registered_at.is_some() && !self.has_answered
    }

    /// Returns whether the worker has not answered this leader for so long that it may be none.
    pub(super) fn is_given_up(&self, now: time::Monotonic) -> bool {
        !self.has_answered
            && self.runs.is_empty()
            && now >= self.lease_over_at
            && now.since(self.reported_at) >= MAX_UNANSWERED_TIME
    }

    /// Returns whether tasks may be placed on the worker.
    pub(super) fn is_usable(&self, now: time::Monotonic) -> bool {
        self.announcement.leaving_in.is_none()
            && self.has_answered
            && !self.is_unresponsive
            && !self.is_gone
            && !self.is_evacuated
            && now >= self.backoff_until
    }

    /// Returns whether tasks can be placed on the worker, where it has room for them.
    pub(super) fn is_placeable(&self, now: time::Monotonic) -> bool {
        self.is_usable(now) && self.clock.is_some() && !self.is_held
    }

    /// Returns when to poll the worker; `None` while a poll is in flight, or before what the last one
    /// reported is in the log.
    pub(super) fn poll_due_at(&self) -> Option<time::Monotonic> {
        let can_poll = self.poll_sent_at.is_none() && !self.has_uncommitted_ends && !self.is_gone;
        can_poll.then_some(self.next_poll_at)
    }

    /// Returns when the runs of the worker end with its lease, if it has any whose ends are unknown.
    pub(super) fn lease_due_at(&self) -> Option<time::Monotonic> {
        let has_runs = !self.runs.is_empty() && !self.is_gone && !self.has_uncommitted_ends;
        has_runs.then_some(self.lease_over_at)
    }

    /// Returns when an announcement of the worker may be acknowledged: while its departure is not in
    /// the log, none may, since the worker would take it for the acknowledgement of its departure.
    pub(super) fn departure_acknowledgement(&self, number: id::WorkerNumber) -> Acknowledgement {
        if self.announcement.leaving_in.is_none() || self.leaving_since.is_some() {
            return Acknowledgement::Now;
        }
        let sequence = self.announcement.sequence;
        Acknowledgement::Committed(state::Command::MarkLeaving { worker: number, sequence })
    }

    /// Returns the resources that are not reserved.
    pub(super) fn free(&self) -> worker::Resources {
        self.announcement.capacity.saturating_sub(&self.reserved)
    }

    /// Returns a lower bound of the worker's clock at `now`, in milliseconds, if a reading is
    /// known.
    pub(super) fn estimate_clock_ms(&self, cfg: &Config, now: time::Monotonic) -> Option<u64> {
        self.clock.map(|clock| clock.reading.min_at(cfg, now))
    }

    /// Grants a lease that starts at `now`; returns its end on the worker's clock, in milliseconds.
    pub(super) fn grant_lease(&mut self, cfg: &Config, now: time::Monotonic) -> Option<u64> {
        let clock_ms = self.estimate_clock_ms(cfg, now)?;
        self.lease_over_at = self.lease_over_at.max(now + cfg.max_leader_time(cfg.get_lease()));
        Some(clock_ms.saturating_add(clock_reading::millis(cfg.get_lease())))
    }

    /// Returns the unused processor time in thousandths of a core; negative if the worker is
    /// overcommitted.
    pub(super) fn spare_cpu(&self) -> i64 {
        i64::from(self.announcement.capacity.cpu_milli) - self.used_cpu
    }

    /// Returns `cpu_milli` thousandths of a core as a fraction of the worker's processors.
    pub(super) fn share(&self, cpu_milli: u32) -> f64 {
        f64::from(cpu_milli) / f64::from(self.announcement.capacity.cpu_milli.max(1))
    }

    /// Returns whether fillers run beside serving tasks.
    pub(super) fn has_fillers_beside_serving(&self) -> bool {
        self.fillers > 0 && !self.serving.is_empty()
    }

    /// Reserves resources for a task that is about to move here.
    pub(super) fn reserve(&mut self, needs: worker::Resources) {
        self.reserved += needs;
    }

    /// Gives up resources that were reserved for a task.
    pub(super) fn unreserve(&mut self, needs: worker::Resources) {
        self.reserved = self.reserved.saturating_sub(&needs);
    }

    /// Adds a run and updates the totals.
    pub(super) fn add(&mut self, task: id::TaskId, run: RunEntry) {
        self.forget_headroom();
        self.reserved += run.reserved;
        if run.is_lasting() {
            self.lasting += run.reserved;
        }
        self.used_cpu += run.used_cpu();
        match run.kind {
            job::StepKind::Serving => *self.serving.entry(run.image).or_default() += 1,
            job::StepKind::Filler => self.fillers += 1,
            job::StepKind::Plain => {}
        }
        self.runs.insert(task, run);
    }

    /// Removes a run and updates the totals.
    pub(super) fn remove(&mut self, task: id::TaskId) -> Option<RunEntry> {
        let run = self.runs.remove(&task)?;
        self.forget_headroom();
        self.reserved = self.reserved.saturating_sub(&run.reserved);
        if run.is_lasting() {
            self.lasting = self.lasting.saturating_sub(&run.reserved);
        }
        self.used_cpu -= run.used_cpu();
        match run.kind {
            job::StepKind::Serving => {
                let left = self.serving.get_mut(&run.image).map_or(0, |count| {
                    *count -= 1;
                    *count
                });
                if left == 0 {
                    self.serving.remove(&run.image);
                }
            }
            job::StepKind::Filler => self.fillers = self.fillers.saturating_sub(1),
            job::StepKind::Plain => {}
        }
        Some(run)
    }

    /// Marks a run as being stopped, unless it is already; returns its number.
    pub(super) fn begin_stop(&mut self, now: time::Monotonic, task: id::TaskId) -> Option<id::Run> {
        let run = self.runs.get_mut(&task).filter(|run| run.is_active())?;
        if run.is_lasting() {
            self.lasting = self.lasting.saturating_sub(&run.reserved);
        }
        run.is_start_uncertain |= run.phase == RunPhase::Starting;
        run.phase = RunPhase::Stopping { sent_at: now, retry_at: now };
        Some(run.run)
    }

    /// Sets the pace of a run and updates the processor time in use.
    pub(super) fn set_pace(&mut self, task: id::TaskId, pace: u32) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        self.used_cpu -= run.used_cpu();
        run.pace = pace;
        self.used_cpu += run.used_cpu();
        self.revision += 1;
    }

    /// Sets whether a tail latency on the worker exceeds its target.
    pub(super) fn set_tail_over_target(&mut self, has_tail_over_target: bool) {
        if self.has_tail_over_target != has_tail_over_target {
            self.has_tail_over_target = has_tail_over_target;
            self.revision += 1;
        }
    }

    /// Has the headroom computed again when it is needed.
    pub(super) fn forget_headroom(&mut self) {
        self.headroom = None;
        self.revision += 1;
    }
}
