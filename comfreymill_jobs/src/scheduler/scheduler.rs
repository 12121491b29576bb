use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::mem;
use std::time::Duration;

use comfreymill_types::time;

use super::common_crashes::RecentCrash;
use super::evacuation::ZonePhase;
use super::interference::Interference;
use super::locality::Locality;
use super::moves::Move;
use super::packing::Packing;
use super::queue::{PlacementClass, Rank, ReadyQueue};
use super::rounds::Rounds;
use super::task::{JobEntry, TaskEntry, TaskPhase};
use super::workers::Workers;
use super::{Config, Order};
use crate::id;
use crate::job;
use crate::routes;
use crate::state;

/// Each leader numbers its runs from a multiple of this, so that they are higher than the runs of
/// all earlier leaders.
const RUNS_PER_LEADER: u64 = 1_000;

/// Multiple of the time allowed for a job after which its completion is of no use.
const USELESS_AFTER: u64 = 3;

/// Scheduler of one leader; decides where tasks run.
#[derive(Debug)]
pub struct Scheduler {
    pub(super) cfg: Config,
    /// Fencing token with which this leader began, from which its runs are numbered.
    pub(super) first_fence: id::Fence,
    /// Fencing token of the orders to workers that are registered from now on; it is raised before a
    /// worker that has started again gets its first order.
    pub(super) fence: id::Fence,
    /// Whether a worker follows a later leader; no order is given from then on.
    pub(super) is_fenced: bool,
    /// Routes in force, with the queues that were removed and still have open jobs.
    pub(super) routes: routes::RouteTable,
    pub(super) jobs: BTreeMap<id::JobKey, JobEntry>,
    pub(super) workers: Workers,
    pub(super) ready: ReadyQueue,
    pub(super) interference: Interference,
    pub(super) packing: Packing,
    pub(super) locality: Locality,
    /// Workers that have announced an incarnation that is not in the log yet.
    pub(super) pending_workers: BTreeMap<id::WorkerName, super::announcements::PendingWorker>,
    /// Announcements that were ignored.
    pub(super) refusals: super::refusals::Refusals,
    /// Workers that were removed after they had said that they were leaving.
    pub(super) departures: state::Departures,
    /// Names of incarnations that were removed.
    pub(super) former_workers: state::FormerWorkers,
    /// Crashes of workers in the last seconds, in the order in which they were noted.
    pub(super) recent_crashes: VecDeque<RecentCrash>,
    /// Workers whose runs that earlier leaders started are not known yet.
    pub(super) unheard: Vec<id::WorkerNumber>,
    /// Availability zones that do not get their full load.
    pub(super) zones: BTreeMap<id::ZoneName, ZonePhase>,
    /// Tasks that move out of evacuated zones.
    pub(super) moves: BTreeMap<id::TaskId, Move>,
    /// Task of an evacuated zone that was last tried to move.
    pub(super) move_cursor: Option<id::TaskId>,
    /// When tasks to move were last looked for.
    pub(super) moves_begun_at: time::Monotonic,
    /// Whether capacity may have become free or a task may have become ready since the last
    /// placement.
    pub(super) needs_placement: bool,
    /// Jobs that are over, or were cancelled before they were submitted, in the order in which they
    /// ended.
    pub(super) ended: VecDeque<(time::Monotonic, id::JobKey)>,
    /// Milliseconds from the Unix epoch to the start of the leader's monotonic clock.
    pub(super) unix_offset_ms: u64,
    /// Pass over the waiting steps that is in progress.
    pub(super) rounds: Rounds,
    /// Jobs of earlier leaders with tasks that have not become available for placement yet.
    pub(super) unreconciled: BTreeSet<id::JobKey>,
    /// Number of tasks of earlier leaders that have become available.
    pub(super) released: u64,
    /// Number of reported runs that earlier leaders started and that go on.
    pub(super) adopted: u64,
    /// When tasks were last placed.
    pub(super) placed_at: time::Monotonic,
    /// When workers were last held for long-running tasks.
    pub(super) holds_updated_at: time::Monotonic,
    /// When fillers that no worker admits were last tried.
    pub(super) fillers_tried_at: time::Monotonic,
    /// Whether work that nobody waits for is put off.
    pub(super) is_deferring: bool,
    /// When the state of the fleet was last logged.
    pub(super) fleet_logged_at: time::Monotonic,
    /// Workers that are held for long-running tasks.
    pub(super) held: Vec<id::WorkerNumber>,
    /// Runs that are being stopped, with the times at which the orders are sent again.
    pub(super) stops: BTreeSet<(time::Monotonic, id::WorkerNumber, id::TaskId)>,
    /// Open jobs that have a schedule.
    pub(super) recurring: BTreeSet<id::JobKey>,
    /// Number of steps of work done so far: workers, tasks and jobs looked at.
    pub(super) steps: u64,
    pub(super) orders: Vec<Order>,
    pub(super) commands: Vec<state::Command>,
}

impl Scheduler {
    /// Returns the fencing token with which this leader began.
    pub fn get_first_fence(&self) -> id::Fence {
        self.first_fence
    }

    /// Returns the fencing token of orders to workers that have not been sent any.
    pub fn get_fence(&self) -> id::Fence {
        self.fence
    }

    /// Handles a fencing token that was assigned to this leader after its first one.
    pub fn fence_raised(&mut self, fence: id::Fence) {
        self.fence = self.fence.max(fence);
    }

    /// Returns whether a worker follows a later leader.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns the replicated state of a worker.
    pub fn worker(&self, worker: id::WorkerNumber) -> Option<&state::Worker> {
        self.workers.get(&worker).map(|entry| &entry.replicated)
    }

    /// Returns the number of workers, tasks and jobs that decisions have looked at so far.
    pub fn get_steps(&self) -> u64 {
        self.steps
    }

    /// Takes the orders given since the last call, in the sequence in which to send them.
    pub fn take_orders(&mut self) -> Vec<Order> {
        if self.is_fenced {
            self.orders.clear();
        }
        mem::take(&mut self.orders)
    }

    /// Takes the commands issued since the last call, in the sequence in which to propose them.
    pub fn take_commands(&mut self) -> Vec<state::Command> {
        mem::take(&mut self.commands)
    }

    /// Handles commands that could not be proposed; the scheduler's own are issued again.
    pub fn commands_not_proposed(&mut self, commands: Vec<state::Command>) {
        let own = commands.into_iter().filter(|command| {
            !matches!(command, state::Command::Submit(_) | state::Command::SubmitAt { .. })
                && !matches!(command, state::Command::Cancel { .. })
                && !matches!(command, state::Command::SetRoutes { .. })
                && !matches!(command, state::Command::Evacuate(_))
                && !matches!(command, state::Command::WithdrawEvacuation(_))
        });
        self.commands.extend(own);
    }

    /// Returns whether a task of the job was started, as far as this leader knows.
    pub fn has_started(&self, job: id::JobKey) -> bool {
        self.jobs.get(&job).is_some_and(|job| job.has_started)
    }

    /// Returns the number of the queue's jobs that have no schedule and no started task.
    pub fn count_waiting_jobs(&self, queue: &str) -> usize {
        let of_queue = self.jobs.values().filter(|job| job.queue == queue);
        of_queue.filter(|job| job.spec.schedule.is_none() && !job.has_started).count()
    }

    /// Sets whether work that nobody waits for is put off: polls of workers without runs. Changes of
    /// pace are not, since serving tasks depend on them.
    pub fn defer(&mut self, is_deferring: bool) {
        self.is_deferring = is_deferring;
    }

    /// Returns the time of day at `now`, as the time since the Unix epoch.
    pub(super) fn since_1970(&self, now: time::Monotonic) -> Duration {
        Duration::from_millis(self.unix_offset_ms.saturating_add(now.as_micros() / 1_000))
    }

    pub(super) fn step_spec(&self, step: id::StepId) -> Option<&job::StepSpec> {
        self.jobs.get(&step.job)?.spec.steps.get(usize::from(step.step))
    }

    pub(super) fn task_mut(&mut self, task: id::TaskId) -> Option<&mut TaskEntry> {
        let occurrence = self.jobs.get_mut(&task.step.job)?;
        let occurrence = occurrence.occurrences.get_mut(&task.step.occurrence)?;
        let step = occurrence.steps.get_mut(usize::from(task.step.step))?;
        step.tasks.get_mut(usize::from(task.index))
    }

    pub(super) fn task(&self, task: id::TaskId) -> Option<&TaskEntry> {
        let occurrence = self.jobs.get(&task.step.job)?.occurrences.get(&task.step.occurrence)?;
        occurrence.steps.get(usize::from(task.step.step))?.tasks.get(usize::from(task.index))
    }

    /// Returns the rank of a step's tasks in the queue of ready tasks.
    pub(super) fn rank(&self, step: id::StepId) -> Option<Rank> {
        let job = self.jobs.get(&step.job)?;
        let spec = job.spec.steps.get(usize::from(step.step))?;
        let occurrence = job.occurrences.get(&step.occurrence)?;
        let queue = self.routes.queue(&job.queue);
        let (stretch, target_ms) =
            queue.map_or((1.0, 0), |queue| (queue.stretch, queue.target_latency_ms));
        let critical_path_ms = job.critical_path_ms as f64 * stretch;
        let allowed_ms = (critical_path_ms.max(0.0) as u64).saturating_add(target_ms);
        let after = |allowed_ms: u64| {
            occurrence.due_at + Duration::from_millis(allowed_ms).saturating_sub(occurrence.waited)
        };
        Some(Rank {
            class: match spec.kind() {
                job::StepKind::Filler => PlacementClass::Filling,
                _ if spec.is_long_running => PlacementClass::Lasting,
                _ => PlacementClass::Short,
            },
            priority: queue.map_or(u32::MAX, |queue| queue.priority),
            due_at: after(allowed_ms),
            useless_at: after(allowed_ms.saturating_mul(USELESS_AFTER)),
            remaining_ms: job.remaining_path_ms(step.step),
        })
    }

    /// Adds a task to the queue of ready tasks.
    pub(super) fn make_ready(&mut self, now: time::Monotonic, task: id::TaskId) {
        let Some(rank) = self.rank(task.step) else { return };
        if let Some(entry) = self.task_mut(task) {
            entry.phase = TaskPhase::Ready;
            self.ready.add(now, task, rank);
            self.needs_placement = true;
        }
    }

    /// Returns the number for the next run of a task whose previous run is `last`.
    pub(super) fn next_run(&self, last: id::Run) -> id::Run {
        let first = (self.first_fence.get().saturating_sub(1)).saturating_mul(RUNS_PER_LEADER) + 1;
        let first = u32::try_from(first).unwrap_or(u32::MAX);
        last.next().max(id::Run::new(first))
    }
}
