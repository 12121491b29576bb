use std::collections::HashMap;
use std::mem;
use std::time::Duration;

use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;
use rand::SeedableRng as _;

use super::class_state::ClassState;
use super::executor::Executor;
use super::history::History;
use super::pool::Pool;
use super::queue::QueuedRequest;
use super::request::{Request, RequestState};
use super::retry_budget::RetryBudget;
use super::{Action, Admission, Config, Decision, RequestView, ServiceDemand, Step};

const DRAINING_RETRY_AFTER: Duration = Duration::from_secs(1);
const FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Slot of an attempt that the entry gave up on and that may still be running.
#[derive(Debug)]
pub(super) struct UnresolvedAttempt {
    pub(super) executor: usize,
    /// Time at which the slot is freed.
    pub(super) until: time::Monotonic,
}

/// Chooses an executor for each prompt request of one entry.
#[derive(Debug)]
pub struct Router {
    pub(super) cfg: Config,
    pub(super) classes: Vec<ClassState>,
    pub(super) class_by_name: HashMap<id::ClassName, usize>,
    pub(super) shares: HashMap<id::TeamName, u32>,
    pub(super) executors: Vec<Executor>,
    /// Indices in `executors` that may be reused.
    pub(super) free_indices: Vec<usize>,
    pub(super) executor_by_name: HashMap<id::ExecutorName, usize>,
    /// Version of the latest table of each group.
    pub(super) table_versions: HashMap<u32, u64>,
    /// End of the lease on each group's grants.
    pub(super) leases: HashMap<u32, time::Monotonic>,
    pub(super) pools: Vec<Pool>,
    pub(super) pool_by_service: HashMap<id::ServiceName, usize>,
    pub(super) requests: HashMap<u64, Request>,
    /// Slots of attempts that may still be running, by request and attempt.
    pub(super) unresolved_attempts: HashMap<(u64, u32), UnresolvedAttempt>,
    /// Number of queued requests over all classes.
    pub(super) queued: usize,
    pub(super) retry_budget: RetryBudget,
    pub(super) history: History,
    pub(super) actions: Vec<Action>,
    pub(super) draining: bool,
    pub(super) last_tick: time::Monotonic,
    pub(super) last_decay: time::Monotonic,
    pub(super) rng: rand_chacha::ChaCha8Rng,
}

impl Router {
    /// Creates a router without executors or classes.
    pub fn new(cfg: Config) -> Self {
        Self {
            classes: Vec::new(),
            class_by_name: HashMap::new(),
            shares: HashMap::new(),
            executors: Vec::new(),
            free_indices: Vec::new(),
            executor_by_name: HashMap::new(),
            table_versions: HashMap::new(),
            leases: HashMap::new(),
            pools: Vec::new(),
            pool_by_service: HashMap::new(),
            requests: HashMap::new(),
            unresolved_attempts: HashMap::new(),
            queued: 0,
            retry_budget: RetryBudget::new(cfg.get_retry_ratio()),
            history: History::new(cfg.get_history_limit()),
            actions: Vec::new(),
            draining: false,
            last_tick: time::Monotonic::ZERO,
            last_decay: time::Monotonic::ZERO,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(cfg.get_seed()),
            cfg,
        }
    }

    /// Replaces the classes and teams with those of the document in force.
    pub fn set_document(&mut self, document: &document::Environment) {
        for class in &mut self.classes {
            class.in_force = false;
        }
        let prompts = document.classes.iter().filter_map(|class| Some((class, class.as_prompt()?)));
        for (class, prompt) in prompts {
            let pool = self.pool_index(&prompt.service);
            if let Some(ix) = self.class_by_name.get(&class.name) {
                self.classes[*ix].update(class, prompt, pool);
            } else {
                self.class_by_name.insert(class.name.clone(), self.classes.len());
                self.classes.push(ClassState::new(class, prompt, pool));
            }
        }
        self.shares = document.teams.iter().map(|team| (team.name.clone(), team.share)).collect();
    }

    /// Decides whether to send, queue or refuse a new request.
    pub fn submit(&mut self, now: time::Monotonic, req: &RequestView) -> Admission {
        self.expire_leases(now);
        self.history.open(req);
        match self.admit(now, req) {
            Ok(admission) => admission,
            Err(error) => {
                self.history.add(req.id, Step::Refused { at: now, kind: error.get_kind() });
                Admission::Refused(error)
            }
        }
    }

    /// Starts to refuse new requests; queued and running ones continue.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Returns whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the number of queued and running requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued_requests(&self) -> usize {
        self.queued
    }

    /// Takes the pending actions for the I/O layer.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.actions)
    }

    /// Returns the number of slots that this entry uses of an executor, over all its incarnations.
    pub fn slots_in_use(&self, name: &id::ExecutorName) -> u32 {
        let incarnations = self.executors.iter().filter(|executor| executor.name() == name);
        incarnations.map(Executor::in_use).sum()
    }

    /// Returns the number of slots wanted for each service, for the heartbeat to the leader.
    pub fn demand(&mut self, _now: time::Monotonic) -> Vec<ServiceDemand> {
        let demands = self.pools.iter_mut().map(|pool| {
            pool.reported_demand = pool.demand();
            ServiceDemand { service: pool.service.clone(), slots: pool.reported_demand }
        });
        demands.collect()
    }

    /// Returns the decision record of a request, if it is still kept.
    pub fn explain(&self, request: u64) -> Option<&Decision> {
        self.history.get(request)
    }

    /// Returns the decision records from the latest to the oldest.
    pub fn decisions(&self) -> impl Iterator<Item = &Decision> {
        self.history.iter()
    }
}

impl Router {
    fn admit(
        &mut self,
        now: time::Monotonic,
        view: &RequestView,
    ) -> Result<Admission, error::Error> {
        if self.draining {
            let error = error::Error::new(
                error::ErrorKind::Draining,
                "the entry is draining and accepts no new requests",
            );
            return Err(error.retry_after(DRAINING_RETRY_AFTER));
        }
        let req = self.build_request(view)?;
        if now >= req.deadline {
            let kind = error::ErrorKind::ExpiredInQueue;
            return Err(error::Error::new(kind, "the deadline passed before the request arrived"));
        }
        self.retry_budget.deposit();
        let pool = self.classes[req.class].pool;
        self.pools[pool].arrivals += 1;
        self.check_reachable(pool, req.class)?;
        if let Some(ix) = self.choose(now, &req) {
            let address = self.executors[ix].view.address;
            let executor = self.executors[ix].name().clone();
            self.requests.insert(view.id, req);
            let attempt = self.start_attempt(now, view.id, ix);
            return Ok(Admission::Send { executor, address, attempt });
        }
        self.queue_or_refuse(now, view.id, req)?;
        Ok(Admission::Queued)
    }

    fn build_request(&self, view: &RequestView) -> Result<Request, error::Error> {
        let known = self.class_by_name.get(&view.class).copied();
        let Some(class) = known.filter(|ix| self.classes[*ix].in_force) else {
            let message = format!("there is no prompt class {}", view.class);
            return Err(error::Error::new(error::ErrorKind::NotFound, message).field("class"));
        };
        let state = &self.classes[class];
        let unrepeatable = state.unrepeatable || view.unrepeatable;
        if unrepeatable && !view.keyed {
            let message = "an unrepeatable request needs the header Idempotency-Key";
            return Err(error::Error::new(error::ErrorKind::KeyRequired, message));
        }
        let class_deadline = view.arrival + state.deadline;
        Ok(Request {
            class,
            team: view.team.clone(),
            deadline: view.deadline.map_or(class_deadline, |own| own.min(class_deadline)),
            unrepeatable,
            attempt: 0,
            state: RequestState::Queued,
            avoid: None,
        })
    }

    /// Queues a request, or refuses it if it would be answered too late or a queue is full.
    fn queue_or_refuse(
        &mut self,
        now: time::Monotonic,
        id: u64,
        req: Request,
    ) -> Result<(), error::Error> {
        let class = &self.classes[req.class];
        let wait = self.estimated_wait_micros(class.pool, class.priority, &req);
        let needed = wait + class.likely_latency_micros();
        let left = req.deadline.since(now).as_micros() as f64;
        if needed > left {
            let error = error::Error::new(
                error::ErrorKind::Overloaded,
                format!(
                    "the estimated wait of {:.0} ms leaves too little time for an answer",
                    wait / 1e3
                ),
            );
            let excess = Duration::from_micros((needed - left) as u64);
            return Err(error.retry_after(excess));
        }
        self.enforce_queue_limits(now, &req)?;
        let ahead = self.pools[self.classes[req.class].pool].queue.len();
        let step = Step::Queued { at: now, wait_micros: wait as u64, ahead };
        self.history.add(id, step);
        self.enqueue(id, req);
        Ok(())
    }

    /// Keeps the queue limits by evicting a request of the team that is furthest over its share.
    ///
    /// The request itself is refused if its own team is the one furthest over its share.
    fn enforce_queue_limits(
        &mut self,
        now: time::Monotonic,
        req: &Request,
    ) -> Result<(), error::Error> {
        let class = &self.classes[req.class];
        let is_class_full = class.queued >= class.queue_limit;
        if !is_class_full && self.queued < self.cfg.get_queue_limit() {
            return Ok(());
        }
        let full = || {
            let message =
                format!("the queue is full: {} requests of the class are waiting", class.queued);
            error::Error::new(error::ErrorKind::QueueFull, message).retry_after(FULL_RETRY_AFTER)
        };
        let shares = &self.shares;
        let queue = &self.pools[class.pool].queue;
        let share_of = |team: &id::TeamName| shares.get(team).copied().unwrap_or(1);
        let evicted = queue.eviction_candidate(req.class, class.priority, &req.team, share_of);
        let evicted = evicted.ok_or_else(full)?;
        let error = full();
        self.dequeue(&evicted);
        self.refuse(now, evicted.request, error);
        Ok(())
    }

    /// Adds a request to its queue.
    pub(super) fn enqueue(&mut self, id: u64, mut req: Request) {
        req.state = RequestState::Queued;
        let waiting = self.queued_request(id, &req);
        let class = &mut self.classes[req.class];
        class.queued += 1;
        self.queued += 1;
        self.pools[class.pool].queue.push(&waiting);
        self.requests.insert(id, req);
    }

    /// Removes a request from its queue.
    pub(super) fn dequeue(&mut self, waiting: &QueuedRequest) {
        let class = &mut self.classes[waiting.class];
        if self.pools[class.pool].queue.remove(waiting) {
            class.queued -= 1;
            self.queued -= 1;
        }
    }

    /// Ends a request and answers its caller with `error`.
    pub(super) fn refuse(&mut self, now: time::Monotonic, request: u64, error: error::Error) {
        self.requests.remove(&request);
        self.history.add(request, Step::Refused { at: now, kind: error.get_kind() });
        self.actions.push(Action::Refuse { request, error });
    }

    pub(super) fn queued_request(&self, id: u64, req: &Request) -> QueuedRequest {
        QueuedRequest {
            request: id,
            class: req.class,
            priority: self.classes[req.class].priority,
            team: req.team.clone(),
            deadline: req.deadline,
        }
    }

    pub(super) fn pool_index(&mut self, service: &id::ServiceName) -> usize {
        if let Some(pool) = self.pool_by_service.get(service) {
            return *pool;
        }
        let pool = self.pools.len();
        self.pools.push(Pool::new(service.clone()));
        self.pool_by_service.insert(service.clone(), pool);
        pool
    }

    pub(super) fn team_share(&self, team: &id::TeamName) -> u32 {
        self.shares.get(team).copied().unwrap_or(1)
    }
}
