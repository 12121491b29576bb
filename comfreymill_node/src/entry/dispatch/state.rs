use std::collections::BTreeMap;

use comfreymill_route::router;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::DispatchStep;
use super::input::Input;
use super::stage_router::{Effects, StageRouter};
use crate::protocol;

/// Maximum number of latest decisions returned per environment and stage.
const SHOWN_DECISIONS: usize = 50;

/// Configuration of the dispatcher.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Configuration of each router.
    pub router: router::Config,
}

/// Status of the dispatcher, as reported to operators.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DispatchStatus {
    /// Log index of the documents in force.
    pub revision: u64,
    /// Whether the lease on the documents in force has not expired.
    pub is_current: bool,
    /// Whether the entry holds slots of every service that has executors.
    pub is_served: bool,
    /// Whether the process is stopping and load balancers should send callers elsewhere.
    pub is_draining: bool,
    /// Number of requests that are not over, including the queued ones.
    pub open_requests: usize,
    /// Number of requests that wait for a slot.
    pub queued_requests: usize,
    /// Number of known executors.
    pub executors: usize,
    /// Version in force of each environment and stage.
    pub documents: BTreeMap<String, id::Version>,
}

/// State of the dispatcher.
pub(super) struct State {
    pub(super) cfg: DispatchConfig,
    pub(super) stages: BTreeMap<protocol::EnvironmentStage, StageRouter>,
    pub(super) executors: BTreeMap<id::ExecutorName, protocol::ExecutorRow>,
    pub(super) table_version: u64,
    pub(super) term: u64,
    pub(super) revision: Option<u64>,
    pub(super) lease_until: time::Monotonic,
    /// Whether the leader has sent a complete table of executors.
    pub(super) has_table: bool,
    pub(super) is_not_ready: bool,
    pub(super) is_draining: bool,
    pub(super) effects: Effects,
}

impl State {
    pub(super) fn new(cfg: DispatchConfig) -> Self {
        Self {
            cfg,
            stages: BTreeMap::new(),
            executors: BTreeMap::new(),
            table_version: 0,
            term: 0,
            revision: None,
            lease_until: time::Monotonic::ZERO,
            has_table: false,
            is_not_ready: false,
            is_draining: false,
            effects: Effects::default(),
        }
    }

    /// Handles one message.
    pub(super) fn handle(&mut self, now: time::Monotonic, input: Input) {
        match input {
            Input::Submit { stage_key, view, steps } => {
                self.submit(now, &stage_key, &view, steps);
            }
            Input::Finished { stage_key, request, attempt, outcome } => {
                self.finished(now, &stage_key, request, attempt, outcome);
            }
            Input::Resolved { stage_key, request, attempt } => {
                self.with_stage(&stage_key, |stage| stage.router.resolved(now, request, attempt));
            }
            Input::Probed { stage_key, executor, is_healthy } => {
                self.with_stage(&stage_key, |stage| {
                    stage.router.probed(now, &executor, is_healthy);
                });
            }
            Input::Push(push) => self.apply_push(now, push),
            Input::LeaseRenewed { until, lease } => self.renew_lease(now, until, lease),
            Input::MarkNotReady => self.is_not_ready = true,
            Input::Drain => self.drain(),
            Input::Status(reply) => {
                reply.send(self.status(now)).ok();
            }
            Input::Class { stage_key, class, team, reply } => {
                let stage = self.stages.get(&stage_key);
                reply.send(stage.and_then(|stage| stage.class(&class, team))).ok();
            }
            Input::Decisions { request, reply } => {
                reply.send(self.decisions(request)).ok();
            }
            Input::Heartbeat(reply) => {
                reply.send(self.heartbeat(now)).ok();
            }
        }
    }

    /// Runs the timers of the routers that are due by `now`.
    pub(super) fn tick(&mut self, now: time::Monotonic) {
        for stage in self.stages.values_mut() {
            stage.router.tick(now);
            self.effects.extend(stage.apply_actions());
        }
    }

    /// Returns whether documents are in force and their lease has not expired.
    pub(super) fn is_current(&self, now: time::Monotonic) -> bool {
        self.revision.is_some() && now < self.lease_until
    }

    fn submit(
        &mut self,
        now: time::Monotonic,
        key: &protocol::EnvironmentStage,
        view: &router::RequestView,
        steps: flume::Sender<DispatchStep>,
    ) {
        if let Some(error) = self.admission_error(now, key) {
            steps.send(DispatchStep::Refuse(error)).ok();
            return;
        }
        let Some(stage) = self.stages.get_mut(key) else { return };
        let admission = stage.router.submit(now, view);
        stage.apply_admission(view.id, admission, steps);
        self.effects.extend(stage.apply_actions());
    }

    fn admission_error(
        &self,
        now: time::Monotonic,
        key: &protocol::EnvironmentStage,
    ) -> Option<error::Error> {
        if self.is_draining {
            let message = "the process is stopping";
            return Some(error::Error::new(error::ErrorKind::Draining, message));
        }
        if !self.is_current(now) {
            let message = "the leader has not confirmed the documents within the lease";
            return Some(error::Error::new(error::ErrorKind::NotCurrent, message));
        }
        if !self.stages.contains_key(key) {
            let message = format!("no document is in force for {key}");
            return Some(error::Error::new(error::ErrorKind::NotFound, message));
        }
        None
    }

    fn finished(
        &mut self,
        now: time::Monotonic,
        key: &protocol::EnvironmentStage,
        request: u64,
        attempt: u32,
        outcome: router::Outcome,
    ) {
        self.with_stage(key, |stage| {
            if matches!(outcome, router::Outcome::Answered { .. } | router::Outcome::CallerGone) {
                stage.steps.remove(&request);
            }
            stage.router.finished(now, request, attempt, outcome);
        });
    }

    fn with_stage<F>(&mut self, key: &protocol::EnvironmentStage, change: F)
    where
        F: FnOnce(&mut StageRouter),
    {
        if let Some(stage) = self.stages.get_mut(key) {
            change(stage);
            self.effects.extend(stage.apply_actions());
        }
    }

    fn drain(&mut self) {
        self.is_draining = true;
        for stage in self.stages.values_mut() {
            stage.router.start_draining();
            self.effects.extend(stage.apply_actions());
        }
    }

    fn status(&self, now: time::Monotonic) -> DispatchStatus {
        let stages = self.stages.values();
        DispatchStatus {
            revision: self.revision.unwrap_or(0),
            is_current: self.is_current(now),
            is_served: self.is_served(),
            is_draining: self.is_draining || self.is_not_ready,
            open_requests: stages.clone().map(|stage| stage.router.open_requests()).sum(),
            queued_requests: stages.clone().map(|stage| stage.router.queued_requests()).sum(),
            executors: self.executors.len(),
            documents: stages.map(|stage| (stage.key.to_string(), stage.view.version)).collect(),
        }
    }

    fn decisions(&self, request: Option<u64>) -> Vec<router::Decision> {
        let routers = self.stages.values().map(|stage| &stage.router);
        match request {
            Some(request) => {
                routers.filter_map(|router| router.explain(request)).cloned().collect()
            }
            None => routers
                .flat_map(|router| router.decisions().take(SHOWN_DECISIONS))
                .cloned()
                .collect(),
        }
    }

    /// Returns and clears whether a heartbeat should be sent ahead of its period.
    pub(super) fn take_heartbeat_due(&mut self, now: time::Monotonic) -> bool {
        let mut is_due = std::mem::take(&mut self.effects.is_demand_changed);
        for stage in self.stages.values_mut() {
            is_due |= !stage.router.take_changed_holdings(now).is_empty();
        }
        is_due
    }

    /// Returns whether no request is open and none may still be running at an executor.
    fn is_idle(&self) -> bool {
        let mut stages = self.stages.values();
        let is_closed = stages.clone().all(|stage| stage.router.open_requests() == 0);
        is_closed
            && stages
                .all(|stage| self.executors.keys().all(|name| stage.router.slots_in_use(name) == 0))
    }

    /// Returns whether the entry has the leader's table and slots of every service that has
    /// executors.
    fn is_served(&self) -> bool {
        let mut by_service: BTreeMap<(&protocol::EnvironmentStage, &id::ServiceName), u32> =
            BTreeMap::new();
        for row in self.executors.values().filter(|row| !row.leaving) {
            *by_service.entry((&row.environment_stage, &row.service)).or_default() += row.slots;
        }
        self.has_table && by_service.values().all(|slots| *slots > 0)
    }

    fn heartbeat(&mut self, now: time::Monotonic) -> protocol::EntryHeartbeat {
        let mut demand = Vec::new();
        let mut holdings = Vec::new();
        let mut avoided = Vec::new();
        for stage in self.stages.values_mut() {
            let services = stage.router.demand(now);
            demand.push(protocol::StageDemand { environment_stage: stage.key.clone(), services });
            holdings.extend(stage.router.holdings(protocol::SOURCE));
            stage.observe();
            avoided.extend(stage.router.avoided(protocol::SOURCE));
        }
        let revision = self.revision.unwrap_or(0);
        let draining = self.is_draining;
        let is_over = draining && self.is_idle();
        protocol::EntryHeartbeat { revision, demand, holdings, avoided, draining, is_over }
    }
}
