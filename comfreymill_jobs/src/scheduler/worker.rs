use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_types::time;

use super::Config;
use super::interference::Image;
use super::run::RunEntry;
use crate::id;
use crate::job;
use crate::state;
use crate::worker;

/// Life of a worker as the leader sees it.
#[derive(Debug)]
pub(super) struct WorkerEntry {
    pub(super) known: state::Worker,
    /// Its newest announcement, or the first of its life if this leader has heard none.
    pub(super) announcement: worker::Announcement,
    /// Whether it has announced itself to this leader.
    pub(super) has_announced: bool,
    /// When it last listed its runs.
    pub(super) reported_at: time::Monotonic,
    /// Whether it has answered a look of this leader.
    pub(super) is_heard: bool,
    /// Whether all that earlier leaders started there is known; once it is, it stays so.
    pub(super) is_settled: bool,
    /// Whether its newest look failed.
    pub(super) is_silent: bool,
    /// Whether its life is over; what it listed before may still be on its way into the log.
    pub(super) is_over: bool,
    /// Whether ends that it listed are on their way into the log.
    pub(super) is_noting: bool,
    /// What runs there, is being started or being stopped, by task.
    pub(super) runs: BTreeMap<id::TaskId, RunEntry>,
    /// What the runs take of it.
    pub(super) reserved: worker::Resources,
    /// Processor time that the runs use by and large, in thousandths of a core.
    pub(super) used_cpu: i64,
    /// Images of the tasks that serve there, with their numbers.
    pub(super) serving: BTreeMap<Image, u32>,
    /// Number of fillers there.
    pub(super) fillers: u32,
    /// By how much the logarithms of the tails of the images there may rise until fillers would be
    /// slowed down, if all fillers worked at full speed; nothing if that is to be found anew.
    pub(super) headroom: Option<Vec<(Image, f64)>>,
    /// Whether a tail is over its target there.
    pub(super) has_late_tail: bool,
    /// Task for which what becomes free there is kept.
    pub(super) held_for: Option<id::TaskId>,
    /// When the look that is under way was sent.
    pub(super) look_sent_at: Option<time::Monotonic>,
    /// When it is to be looked at next.
    pub(super) look_at: time::Monotonic,
    /// Latest moment at which a lease granted so far ends.
    pub(super) lease_over_at: time::Monotonic,
    /// Reading of its clock in milliseconds, and when it was received.
    pub(super) clock: Option<(u64, time::Monotonic)>,
    /// Until when nothing is placed there.
    pub(super) rests_until: time::Monotonic,
    /// Failed runs since the last one that was done.
    pub(super) failures: u32,
    /// When the shares of its fillers were last changed.
    pub(super) paced_at: time::Monotonic,
}

impl WorkerEntry {
    /// Worker that this leader has not heard yet; an earlier leader may have granted it a lease
    /// that ends at `lease_over_at`.
    pub(super) fn new(
        known: state::Worker,
        lease_over_at: time::Monotonic,
        now: time::Monotonic,
    ) -> Self {
        // Whether it was leaving when it first spoke, and what its clock showed, is long past.
        let announcement =
            worker::Announcement { leaving_in: None, clock_ms: None, ..known.announced.clone() };
        Self {
            known,
            announcement,
            has_announced: false,
            reported_at: now,
            is_heard: false,
            is_settled: false,
            is_silent: false,
            is_over: false,
            is_noting: false,
            runs: BTreeMap::new(),
            reserved: worker::Resources::default(),
            used_cpu: 0,
            serving: BTreeMap::new(),
            fillers: 0,
            headroom: None,
            has_late_tail: false,
            held_for: None,
            look_sent_at: None,
            look_at: now,
            lease_over_at,
            clock: None,
            rests_until: time::Monotonic::ZERO,
            failures: 0,
            paced_at: time::Monotonic::ZERO,
        }
    }

    /// Whether its runs are known, or none is left, and all ends that it listed are in the log.
    pub(super) fn is_accounted(&self, now: time::Monotonic) -> bool {
        !self.is_noting && (self.is_heard || self.is_over || now >= self.lease_over_at)
    }

    /// Whether tasks may be placed there.
    pub(super) fn is_usable(&self, now: time::Monotonic) -> bool {
        self.announcement.leaving_in.is_none()
            && self.is_heard
            && !self.is_silent
            && !self.is_over
            && now >= self.rests_until
    }

    /// What is not reserved.
    pub(super) fn free(&self) -> worker::Resources {
        self.announcement.capacity.saturating_sub(&self.reserved)
    }

    /// Takes a reading of its clock in; an older reading that says less is ignored.
    pub(super) fn read_clock(&mut self, cfg: &Config, clock_ms: u64, now: time::Monotonic) {
        if self.clock_ms(cfg, now).is_none_or(|estimate| clock_ms > estimate) {
            self.clock = Some((clock_ms, now));
        }
    }

    /// What its clock shows at least.
    pub(super) fn clock_ms(&self, cfg: &Config, now: time::Monotonic) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        Some(clock_ms + millis(cfg.shrink(now.since(at))))
    }

    /// Grants a lease from `now` on; gives its end on the worker's clock.
    pub(super) fn grant(&mut self, cfg: &Config, now: time::Monotonic) -> Option<u64> {
        let clock_ms = self.clock_ms(cfg, now)?;
        self.lease_over_at = self.lease_over_at.max(now + cfg.stretch(cfg.get_lease()));
        Some(clock_ms + millis(cfg.get_lease()))
    }

    /// Processor time that is left unused, in thousandths of a core; negative if too little is.
    pub(super) fn spare_cpu(&self) -> i64 {
        i64::from(self.announcement.capacity.cpu_milli) - self.used_cpu
    }

    /// Share of its processors that `cpu_milli` thousandths of a core are.
    pub(super) fn share(&self, cpu_milli: u32) -> f64 {
        f64::from(cpu_milli) / f64::from(self.announcement.capacity.cpu_milli.max(1))
    }

    /// Whether tasks that fill run beside tasks that serve.
    pub(super) fn has_mix(&self) -> bool {
        self.fillers > 0 && !self.serving.is_empty()
    }

    /// Adds a run.
    pub(super) fn add(&mut self, task: id::TaskId, run: RunEntry) {
        self.headroom = None;
        self.reserved += run.reserved;
        self.used_cpu += run.used_cpu();
        match run.kind {
            job::StepKind::Serving => *self.serving.entry(run.image).or_default() += 1,
            job::StepKind::Filler => self.fillers += 1,
            job::StepKind::Plain => {}
        }
        self.runs.insert(task, run);
    }

    /// Removes a run.
    pub(super) fn remove(&mut self, task: id::TaskId) -> Option<RunEntry> {
        let run = self.runs.remove(&task)?;
        self.headroom = None;
        self.reserved = self.reserved.saturating_sub(&run.reserved);
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

    /// Notes the pace of a run.
    pub(super) fn set_pace(&mut self, task: id::TaskId, pace: u32) {
        let Some(run) = self.runs.get_mut(&task) else { return };
        self.used_cpu -= run.used_cpu();
        run.pace = pace;
        self.used_cpu += run.used_cpu();
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
