use std::time::Duration;

use comfreymill_types::time;

use crate::metering;
use crate::scheduler::turns;

/// Interval between log lines about the load of the loop.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Part of a turn whose duration is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Part {
    /// Inputs of one kind.
    Inputs(turns::Kind),
    /// Timers.
    Timers,
    /// Placement of tasks and sending of the orders.
    Placement,
    /// Application of committed entries.
    Commit,
    /// Snapshot of the state.
    Snapshot,
    /// Start of a leadership.
    Takeover,
}

impl Part {
    const COUNT: usize = turns::Kind::ALL.len() + 5;

    /// Returns the label of the part in metrics and logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Inputs(kind) => kind.as_str(),
            Self::Timers => "timers",
            Self::Placement => "placement",
            Self::Commit => "commit",
            Self::Snapshot => "snapshot",
            Self::Takeover => "takeover",
        }
    }

    fn position(self) -> usize {
        match self {
            Self::Inputs(kind) => kind as usize,
            Self::Timers => turns::Kind::ALL.len(),
            Self::Placement => turns::Kind::ALL.len() + 1,
            Self::Commit => turns::Kind::ALL.len() + 2,
            Self::Snapshot => turns::Kind::ALL.len() + 3,
            Self::Takeover => turns::Kind::ALL.len() + 4,
        }
    }

    fn all() -> impl Iterator<Item = Self> {
        let others = [Self::Timers, Self::Placement, Self::Commit, Self::Snapshot, Self::Takeover];
        turns::Kind::ALL.into_iter().map(Self::Inputs).chain(others)
    }
}

/// Load of the loop: durations of turns and of their parts, and waits of inputs.
#[derive(Debug)]
pub(super) struct Load {
    metrics: metering::LoopMetrics,
    /// Time spent on each part in this turn.
    in_turn: [Duration; Part::COUNT],
    window: Window,
}

/// What the next log line reports.
#[derive(Debug, Default)]
struct Window {
    began_at: time::Monotonic,
    turns: u64,
    busy: Duration,
    by_part: [Duration; Part::COUNT],
    handled: [u64; turns::Kind::ALL.len()],
    longest_wait: [Duration; turns::Kind::ALL.len()],
    longest_turn: Duration,
    longest_parts: [Duration; Part::COUNT],
    longest_gap: Duration,
    longest_round_trip: Duration,
    start_waits: Spans,
    start_answers: Spans,
    commits: Spans,
}

/// Number of durations, their sum and the longest.
#[derive(Clone, Copy, Debug, Default)]
struct Spans {
    count: u32,
    sum: Duration,
    longest: Duration,
}

impl Spans {
    fn add(&mut self, span: Duration) {
        self.count += 1;
        self.sum += span;
        self.longest = self.longest.max(span);
    }
}

impl std::fmt::Display for Spans {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mean = self.sum / self.count.max(1);
        write!(f, "{} of {} ms, at most {}", self.count, millis(mean), millis(self.longest))
    }
}

impl Load {
    /// Creates an empty record.
    pub(super) fn new() -> Self {
        let kinds = turns::Kind::ALL.map(turns::Kind::as_str);
        let parts: Vec<&'static str> = Part::all().map(Part::as_str).collect();
        Self {
            metrics: metering::LoopMetrics::new(&kinds, &parts),
            in_turn: [Duration::ZERO; Part::COUNT],
            window: Window::default(),
        }
    }

    /// Records how long an input waited before it is handled.
    pub(super) fn input_taken(&mut self, kind: turns::Kind, wait: Duration) {
        self.metrics.input_wait(kind as usize, wait);
        self.window.handled[kind as usize] += 1;
        let longest = &mut self.window.longest_wait[kind as usize];
        *longest = (*longest).max(wait);
    }

    /// Records the time from a heartbeat of this leader to the handling of the response.
    pub(super) fn heartbeat_answered(&mut self, span: Duration) {
        self.metrics.heartbeat_round_trip(span);
        self.window.longest_round_trip = self.window.longest_round_trip.max(span);
    }

    /// Records how long a start order waited to be sent, and then for its answer.
    pub(super) fn start_answered(&mut self, wait: Duration, answer: Duration) {
        self.window.start_waits.add(wait);
        self.window.start_answers.add(answer);
    }

    /// Records the time from a proposal to its commit.
    pub(super) fn committed(&mut self, span: Duration) {
        self.window.commits.add(span);
    }

    /// Adds the time from `began` to `now` to a part of this turn.
    pub(super) fn spent(&mut self, part: Part, began: time::Monotonic, now: time::Monotonic) {
        self.in_turn[part.position()] += now.since(began);
    }

    /// Records the end of a turn, which began at `began` after a pause of `gap` for connections.
    pub(super) fn turn_ended(
        &mut self,
        began: time::Monotonic,
        now: time::Monotonic,
        gap: Duration,
    ) {
        let duration = now.since(began);
        let parts = std::mem::replace(&mut self.in_turn, [Duration::ZERO; Part::COUNT]);
        self.metrics.turn(duration);
        for (position, spent) in parts.iter().enumerate().filter(|(_, spent)| !spent.is_zero()) {
            self.metrics.turn_part(position, *spent);
            self.window.by_part[position] += *spent;
        }
        let window = &mut self.window;
        window.turns += 1;
        window.busy += duration;
        window.longest_gap = window.longest_gap.max(gap);
        if duration > window.longest_turn {
            window.longest_turn = duration;
            window.longest_parts = parts;
        }
    }

    /// Logs the load since the last line, if one is due.
    pub(super) fn report<T>(
        &mut self,
        now: time::Monotonic,
        is_leading: bool,
        backlog: &turns::Backlog<T>,
    ) {
        if now.since(self.window.began_at) < REPORT_PERIOD {
            return;
        }
        let kinds = turns::Kind::ALL;
        for kind in kinds {
            self.metrics.backlog(kind as usize, backlog.len(kind));
        }
        let window = std::mem::take(&mut self.window);
        self.window.began_at = now;
        if !is_leading {
            return;
        }
        let waiting: usize = kinds.iter().map(|kind| backlog.len(*kind)).sum();
        let longest_parts =
            Times(Part::all().map(Part::as_str).zip(window.longest_parts).collect());
        let by_part = Times(Part::all().map(Part::as_str).zip(window.by_part).collect());
        let names = kinds.map(turns::Kind::as_str);
        let waits = Times(names.into_iter().zip(window.longest_wait).collect());
        log::info!(target: "loop", turns = window.turns, busy_ms = millis(window.busy), longest_turn_ms = millis(window.longest_turn), longest_parts:% = longest_parts, by_part:% = by_part, longest_gap_ms = millis(window.longest_gap), heartbeat_ms = millis(window.longest_round_trip), longest_waits:% = waits, start_waits:% = window.start_waits, start_answers:% = window.start_answers, commits:% = window.commits, handled:? = window.handled, waiting; "load of the loop");
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Durations by name, of which those of at least a millisecond are shown.
struct Times(Vec<(&'static str, Duration)>);

impl std::fmt::Display for Times {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let long = self.0.iter().filter(|(_, span)| millis(*span) > 0);
        for (position, (name, span)) in long.enumerate() {
            let separator = if position == 0 { "" } else { " " };
            write!(f, "{separator}{name}={}", millis(*span))?;
        }
        Ok(())
    }
}
