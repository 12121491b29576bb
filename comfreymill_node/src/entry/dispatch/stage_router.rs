use std::collections::HashMap;
use std::net;

use comfreymill_route::router;
use comfreymill_types::document;
use comfreymill_types::id;

use super::{ClassView, DispatchStep};
use crate::metering::observe;
use crate::protocol;

/// Value of the metric label `part` for decisions of the router.
const PART: &str = "route";

/// Router of one environment and stage, with the channels to its open requests.
pub(super) struct StageRouter {
    pub(super) key: protocol::EnvironmentStage,
    pub(super) router: router::Router,
    pub(super) view: protocol::DocumentView,
    pub(super) document: document::Environment,
    pub(super) steps: HashMap<u64, flume::Sender<DispatchStep>>,
    /// Regions of the executors outside the region of this entry.
    pub(super) remote_regions: HashMap<id::ExecutorName, id::RegionName>,
}

/// Health probe for the dispatcher's task to run.
pub(super) struct Probe {
    pub(super) stage_key: protocol::EnvironmentStage,
    pub(super) executor: id::ExecutorName,
    pub(super) address: net::SocketAddr,
}

/// I/O that the router asked for and the dispatcher's task performs.
#[derive(Default)]
pub(super) struct Effects {
    /// Health probes to run.
    pub(super) probes: Vec<Probe>,
    /// Addresses of the executors whose idle connections are closed.
    pub(super) idle_closes: Vec<net::SocketAddr>,
    /// Whether the demand for slots exceeds what the leader was last told.
    pub(super) is_demand_changed: bool,
}

impl Effects {
    /// Appends the I/O that another router asked for.
    pub(super) fn extend(&mut self, more: Self) {
        self.probes.extend(more.probes);
        self.idle_closes.extend(more.idle_closes);
        self.is_demand_changed |= more.is_demand_changed;
    }
}

impl StageRouter {
    /// Creates the router for a document that is in force.
    pub(super) fn new(
        cfg: router::Config,
        view: protocol::DocumentView,
        document: document::Environment,
    ) -> Self {
        let mut router = router::Router::new(cfg);
        router.set_document(&document);
        let (steps, remote_regions) = (HashMap::new(), HashMap::new());
        Self { key: view.environment_stage.clone(), router, view, document, steps, remote_regions }
    }

    /// Replaces the document in force by a newer one.
    pub(super) fn replace(
        &mut self,
        view: protocol::DocumentView,
        document: document::Environment,
    ) {
        self.router.set_document(&document);
        self.view = view;
        self.document = document;
    }

    /// Returns the class, with the team if the document defines it.
    pub(super) fn class(
        &self,
        name: &id::ClassName,
        team: Option<id::TeamName>,
    ) -> Option<ClassView> {
        let class = self.document.get_class(name)?.clone();
        let team = team.filter(|team| self.document.get_team(team).is_some());
        Some(ClassView { class, team })
    }

    /// Updates the metrics for open and queued requests.
    pub(super) fn observe(&self) {
        let (open, queued) = (self.router.open_requests(), self.router.queued_requests());
        observe::open_requests(&self.key.environment, self.key.stage, open, queued);
    }

    fn send_step(
        &self,
        executor: id::ExecutorName,
        address: net::SocketAddr,
        attempt: u32,
    ) -> DispatchStep {
        observe::decision(PART, if attempt > 1 { "send-again" } else { "send" });
        let slots_in_use = self.router.slots_in_use(&executor);
        let remote_region = self.remote_regions.get(&executor).cloned();
        DispatchStep::Send { executor, address, attempt, slots_in_use, remote_region }
    }

    /// Tells a new request what the router decided on admission.
    pub(super) fn apply_admission(
        &mut self,
        request: u64,
        admission: router::Admission,
        steps: flume::Sender<DispatchStep>,
    ) {
        match admission {
            router::Admission::Send { executor, address, attempt } => {
                steps.send(self.send_step(executor, address, attempt)).ok();
                self.steps.insert(request, steps);
            }
            router::Admission::Queued => {
                observe::decision(PART, "queue");
                self.steps.insert(request, steps);
            }
            router::Admission::Refused(error) => {
                observe::decision(PART, "refuse");
                steps.send(DispatchStep::Refuse(error)).ok();
            }
        }
    }

    /// Forwards the router's actions to the requests and returns the I/O left to perform.
    pub(super) fn apply_actions(&mut self) -> Effects {
        let mut effects = Effects::default();
        for action in self.router.take_actions() {
            match action {
                router::Action::Send { request, executor, address, attempt } => {
                    if let Some(steps) = self.steps.get(&request) {
                        steps.send(self.send_step(executor, address, attempt)).ok();
                    }
                }
                router::Action::Refuse { request, error } => {
                    if let Some(steps) = self.steps.remove(&request) {
                        observe::decision(PART, "refuse");
                        steps.send(DispatchStep::Refuse(error)).ok();
                    }
                }
                router::Action::Probe { executor, address } => {
                    observe::decision(PART, "probe");
                    effects.probes.push(Probe { stage_key: self.key.clone(), executor, address });
                }
                router::Action::DropConnections { address, .. } => {
                    effects.idle_closes.push(address);
                }
                router::Action::DemandChanged => effects.is_demand_changed = true,
            }
        }
        effects
    }
}
