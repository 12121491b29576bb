//! Workers that crash together: tasks that crash half a zone are started a bounded number of times, and
//! those beside them, or of a zone that loses power, are not given up.

use std::collections::BTreeMap;
use std::time::Duration;

use comfreymill_jobs::id::{JobKey, TaskId, WorkerNumber};
use comfreymill_jobs::job::JobSpec;
use comfreymill_jobs::scheduler::{Answer, PollAnswer, StartAnswer};
use comfreymill_jobs::state::JobStatus;

use crate::support::{Leader, Start, running, spec, step};

/// Time after which workers no longer count as new.
const SETTLED: Duration = Duration::from_secs(11);
const TURN: Duration = Duration::from_millis(100);
/// Keys from this one on are those of tasks that crash their workers.
const DEADLY: u64 = 0xdead_0000;
const INNOCENT: u64 = 1;
/// Number of starts of a task that crashes all its workers.
const MAX_STARTS: u32 = 4;

/// Workers with the runs that they have, and the number of starts of each task.
struct Fleet {
    leader: Leader,
    runs: BTreeMap<WorkerNumber, Vec<Start>>,
    starts: BTreeMap<TaskId, u32>,
}

impl Fleet {
    fn new(zones: &[(&str, usize)]) -> Self {
        let mut leader = Leader::new();
        for (zone, count) in zones {
            for number in 0..*count {
                leader.worker_in(&format!("{zone}{number}"), zone);
            }
        }
        let mut fleet = Self { leader, runs: BTreeMap::new(), starts: BTreeMap::new() };
        fleet.pass(SETTLED);
        fleet
    }

    /// Lets time pass in which all workers report.
    fn pass(&mut self, span: Duration) {
        let turns = span.as_millis() / TURN.as_millis();
        for _ in 0..turns {
            self.leader.advance(TURN);
            self.report_all();
        }
    }

    fn report_all(&mut self) {
        let numbers: Vec<WorkerNumber> = self.leader.state.get_workers().keys().copied().collect();
        for number in numbers {
            let runs = self.runs.get(&number).cloned().unwrap_or_default();
            self.leader.report(number, running(&runs));
        }
    }

    /// Carries out the starts that were ordered, and returns them.
    fn carry_out_starts(&mut self) -> Vec<Start> {
        let starts = self.leader.take_starts();
        for start in &starts {
            *self.starts.entry(start.task).or_default() += 1;
            self.runs.entry(start.worker).or_default().push(*start);
            self.leader.started(start, StartAnswer::Started);
        }
        starts
    }

    /// Lets workers crash at one moment, each of which is back at once.
    fn crash(&mut self, workers: &[WorkerNumber]) {
        for worker in workers {
            self.runs.remove(worker);
            self.leader.leaves_poll_unanswered(*worker);
        }
        for worker in workers {
            let announced = self.leader.state.get_workers()[worker].announced.clone();
            let name = announced.name.as_str();
            let mut later = self.leader.announcement(name, announced.born_unix_ms + 1);
            later.clock_ms = Some(0);
            later.zone.clone_from(&announced.zone);
            self.leader.announce(later);
            self.leader.worker_reports_nothing(name);
        }
    }

    /// Lets all workers of a zone crash at one moment.
    fn crash_zone(&mut self, zone: &str) {
        let workers = self.leader.state.get_workers().iter();
        let of_zone = workers.filter(|(_, worker)| worker.announced.zone == zone);
        let of_zone: Vec<WorkerNumber> = of_zone.map(|(number, _)| *number).collect();
        self.crash(&of_zone);
    }

    fn change_leader(mut self) -> Self {
        self.leader = self.leader.into_next_leader();
        self.leader.advance(Duration::from_millis(1));
        self.report_all();
        self
    }

    fn status(&self, key: u64) -> JobStatus {
        self.leader.state.get_jobs()[&JobKey::new(key)].status
    }

    fn zone_of(&self, start: &Start) -> &str {
        &self.leader.state.get_workers()[&start.worker].announced.zone
    }
}

/// Returns a job of one task that needs most of a worker, or a small part.
fn task(cpu_milli: u32) -> JobSpec {
    let mut only = step(1);
    only.needs.cpu_milli = cpu_milli;
    spec(vec![only])
}

fn is_deadly(start: &Start) -> bool {
    start.task.step.job >= JobKey::new(DEADLY)
}

/// Six tasks crash six of the eight workers of a zone at one moment, again and again, and with them the
/// runs of a task that does no harm.
fn crash_half_a_zone(changes_leader: bool) {
    let mut fleet = Fleet::new(&[("north", 8)]);
    for key in 0..6 {
        fleet.leader.submit_as(DEADLY + key, task(12_000));
    }
    fleet.leader.submit_as(INNOCENT, task(4_000));
    let mut hits = 0;
    for _ in 0..600 {
        let starts = fleet.carry_out_starts();
        let deadly = starts.iter().filter(|start| is_deadly(start));
        let workers: Vec<WorkerNumber> = deadly.map(|start| start.worker).collect();
        hits += starts.iter().filter(|s| !is_deadly(s) && workers.contains(&s.worker)).count();
        fleet.crash(&workers);
        if changes_leader && !workers.is_empty() {
            fleet = fleet.change_leader();
        }
        for (task, count) in &fleet.starts {
            assert!(*count <= MAX_STARTS, "{task} is started {count} times");
        }
        fleet.pass(TURN);
    }
    assert!(hits > 0, "the task that does no harm is hit as well");
    for key in 0..6 {
        assert_eq!(fleet.status(DEADLY + key), JobStatus::Failed, "job {key}");
    }
    assert_eq!(fleet.status(INNOCENT), JobStatus::Open);
    assert_eq!(fleet.runs.values().flatten().count(), 1, "the task that does no harm runs");
}

/// The crashes explained each other, so that none counted, and the tasks were started without end.
#[test]
fn tasks_that_crash_half_a_zone_at_once_are_given_up() {
    crash_half_a_zone(false);
}

#[test]
fn tasks_that_crash_half_a_zone_at_once_are_given_up_across_changes_of_leader() {
    crash_half_a_zone(true);
}

/// Tasks crashed the workers of a zone one after the other, which counted as a cause in common.
#[test]
fn crashes_at_different_moments_have_no_cause_in_common() {
    let mut fleet = Fleet::new(&[("north", 8)]);
    for key in 0..6 {
        fleet.leader.submit_as(DEADLY + key, task(12_000));
    }
    let starts = fleet.carry_out_starts();
    assert_eq!(starts.len(), 6);
    for start in &starts {
        fleet.crash(&[start.worker]);
        let crashes = fleet.leader.state.get_crashes(start.task);
        assert_eq!(crashes.crashes, 1, "{}", start.task);
        fleet.pass(Duration::from_millis(400));
    }
}

/// A zone that loses power again and again is no reason to give up a task that had run for a while, nor
/// to have it wait.
#[test]
fn a_task_that_had_run_for_a_while_starts_again_at_once_however_often_its_zone_crashes() {
    let mut fleet = Fleet::new(&[("north", 8)]);
    fleet.leader.submit_as(INNOCENT, task(4_000));
    for count in 1..=8 {
        let starts = fleet.carry_out_starts();
        assert_eq!(starts.len(), 1, "start {count}");
        fleet.pass(Duration::from_secs(2));
        fleet.crash_zone("north");
        fleet.pass(TURN);
    }
    assert_eq!(fleet.status(INNOCENT), JobStatus::Open);
}

/// A task that its zone hits twice right after its start waits until a crash would show something.
#[test]
fn a_task_hit_twice_right_after_its_start_waits_for_a_calm_worker() {
    let mut fleet = Fleet::new(&[("north", 8)]);
    fleet.leader.submit_as(INNOCENT, task(4_000));
    for _ in 0..2 {
        assert_eq!(fleet.carry_out_starts().len(), 1);
        fleet.crash_zone("north");
        fleet.pass(TURN);
    }
    fleet.pass(Duration::from_secs(2));
    assert_eq!(fleet.carry_out_starts(), [], "its zone has just crashed");
    fleet.leader.submit_as(INNOCENT + 1, task(4_000));
    assert_eq!(fleet.carry_out_starts().len(), 1, "others do not wait");
    fleet.pass(Duration::from_secs(2));
    assert_eq!(fleet.carry_out_starts().len(), 1, "its zone is calm");
    assert_eq!(fleet.status(INNOCENT), JobStatus::Open);
}

#[test]
fn a_task_that_waits_for_a_calm_worker_goes_to_another_zone_at_once() {
    let mut fleet = Fleet::new(&[("north", 8), ("south", 8), ("west", 8)]);
    fleet.leader.submit_as(INNOCENT, task(4_000));
    let mut zones = Vec::new();
    for _ in 0..2 {
        let starts = fleet.carry_out_starts();
        let zone = fleet.zone_of(&starts[0]).to_owned();
        fleet.crash_zone(&zone);
        fleet.pass(TURN);
        zones.push(zone);
    }
    let starts = fleet.carry_out_starts();
    assert_eq!(starts.len(), 1);
    assert!(!zones.iter().any(|zone| zone == fleet.zone_of(&starts[0])), "{zones:?}");
}

#[test]
fn a_task_does_not_wait_for_ever_where_no_worker_becomes_calm() {
    let mut fleet = Fleet::new(&[("north", 8)]);
    fleet.leader.submit_as(INNOCENT, task(4_000));
    for _ in 0..2 {
        assert_eq!(fleet.carry_out_starts().len(), 1);
        fleet.crash_zone("north");
        fleet.pass(TURN);
    }
    let mut waited = Duration::ZERO;
    while fleet.carry_out_starts().is_empty() {
        assert!(waited < Duration::from_secs(12), "it still waits");
        fleet.pass(Duration::from_secs(2));
        fleet.crash_zone("north");
        waited += Duration::from_secs(2);
    }
    assert!(waited > Duration::from_secs(8), "it waited for {waited:?}");
}

/// Lets a worker crash under a start that was not answered. `is_busy`: it has another run; `silence`: the
/// time from its last report to the start; `away`: the time for which it is away after its connection was
/// lost, if it was. Returns the numbers of crashes under the task and of those as a suspect.
fn crash_under_unanswered_start(
    is_busy: bool,
    silence: Duration,
    away: Option<Duration>,
) -> (u32, u32) {
    let mut fleet = Fleet::new(&[("north", 1)]);
    if is_busy {
        fleet.leader.submit_as(INNOCENT + 1, task(4_000));
        fleet.carry_out_starts();
    }
    fleet.pass(SETTLED);
    fleet.leader.advance(silence);
    fleet.leader.submit_as(INNOCENT, task(4_000));
    let start = fleet.leader.take_starts()[0];
    if let Some(away) = away {
        let asked_at = fleet.leader.now;
        fleet.leader.advance(TURN);
        let answer = Answer::Poll(PollAnswer::NoAnswer);
        fleet.leader.scheduler.answered(fleet.leader.now, start.worker, asked_at, answer);
        fleet.leader.advance(away);
    }
    fleet.crash(&[start.worker]);
    let record = fleet.leader.state.get_crashes(start.task);
    (record.crashes, record.suspected)
}

/// Two workers that had crashed unnoticed, so that starts were not answered, were taken for ones that the
/// task had crashed.
#[test]
fn a_start_that_a_silent_worker_did_not_answer_makes_no_suspect() {
    let silence = Duration::from_millis(800);
    assert_eq!(crash_under_unanswered_start(true, silence, None), (1, 0));
    assert_eq!(crash_under_unanswered_start(true, silence, Some(Duration::ZERO)), (1, 0));
}

#[test]
fn a_start_that_a_live_worker_did_not_answer_makes_a_suspect() {
    let silence = Duration::from_millis(800);
    assert_eq!(crash_under_unanswered_start(true, Duration::ZERO, None), (1, 1), "just heard of");
    assert_eq!(crash_under_unanswered_start(false, silence, None), (1, 1), "seldom heard of");
    let away = Some(Duration::from_secs(3));
    assert_eq!(crash_under_unanswered_start(true, silence, away), (1, 1), "lost by the crash");
}

/// An innocent task was given up since starts of it were under way to workers that others crashed.
#[test]
fn a_start_that_was_not_answered_makes_no_suspect_beside_a_run_that_had_begun() {
    let mut fleet = Fleet::new(&[("north", 1)]);
    fleet.leader.submit_as(DEADLY, task(4_000));
    fleet.carry_out_starts();
    fleet.leader.submit_as(INNOCENT, task(4_000));
    let start = fleet.leader.take_starts()[0];
    fleet.crash(&[start.worker]);
    let record = fleet.leader.state.get_crashes(start.task);
    assert_eq!((record.crashes, record.suspected), (1, 0));
    let deadly = fleet.starts.keys().next().expect("it was started");
    assert_eq!(fleet.leader.state.get_crashes(*deadly).suspected, 1);
}
