use std::collections::BTreeMap;

use comfreymill_route::router;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::DispatchOrder;
use super::desk::{Chores, Desk};
use super::input::Input;
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
    pub(super) desks: BTreeMap<protocol::DeskKey, Desk>,
    pub(super) rows: BTreeMap<id::ExecutorName, protocol::ExecutorRow>,
    pub(super) table_version: u64,
    pub(super) term: u64,
    pub(super) revision: Option<u64>,
    pub(super) lease_until: time::Monotonic,
    /// Whether the leader has sent a complete table of executors.
    pub(super) has_table: bool,
    pub(super) is_unready: bool,
    pub(super) is_draining: bool,
    pub(super) chores: Chores,
}

impl State {
    pub(super) fn new(cfg: DispatchConfig) -> Self {
        Self {
            cfg,
            desks: BTreeMap::new(),
            rows: BTreeMap::new(),
            table_version: 0,
            term: 0,
            revision: None,
            lease_until: time::Monotonic::ZERO,
            has_table: false,
            is_unready: false,
            is_draining: false,
            chores: Chores::default(),
        }
    }

    /// Handles one message.
    pub(super) fn handle(&mut self, now: time::Monotonic, input: Input) {
        match input {
            Input::Submit { desk, view, orders } => self.submit(now, &desk, &view, orders),
            Input::Finished { desk, request, attempt, outcome } => {
                self.finished(now, &desk, request, attempt, outcome);
            }
            Input::Settled { desk, request, attempt } => {
                self.with_desk(&desk, |desk| desk.router.resolved(now, request, attempt));
            }
            Input::Probed { desk, executor, is_healthy } => {
                self.with_desk(&desk, |desk| desk.router.probed(now, &executor, is_healthy));
            }
            Input::Push(push) => self.push(now, push),
            Input::Leased { until, lease } => self.leased(now, until, lease),
            Input::Unready => self.is_unready = true,
            Input::Drain => self.drain(),
            Input::Show(reply) => {
                reply.send(self.show(now)).ok();
            }
            Input::Class { desk, class, team, reply } => {
                let desk = self.desks.get(&desk);
                reply.send(desk.and_then(|desk| desk.class(&class, team))).ok();
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
        for desk in self.desks.values_mut() {
            desk.router.tick(now);
            self.chores.extend(desk.act());
        }
    }

    /// Returns whether documents are in force and their lease has not expired.
    pub(super) fn is_current(&self, now: time::Monotonic) -> bool {
        self.revision.is_some() && now < self.lease_until
    }

    fn submit(
        &mut self,
        now: time::Monotonic,
        key: &protocol::DeskKey,
        view: &router::RequestView,
        orders: flume::Sender<DispatchOrder>,
    ) {
        if let Some(error) = self.refusal(now, key) {
            orders.send(DispatchOrder::Refuse(error)).ok();
            return;
        }
        let Some(desk) = self.desks.get_mut(key) else { return };
        let admission = desk.router.submit(now, view);
        desk.admitted(view.id, admission, orders);
        self.chores.extend(desk.act());
    }

    fn refusal(&self, now: time::Monotonic, key: &protocol::DeskKey) -> Option<error::Error> {
        if self.is_draining {
            let message = "the process is stopping";
            return Some(error::Error::new(error::ErrorKind::Draining, message));
        }
        if !self.is_current(now) {
            let message = "the leader has not confirmed the documents within the lease";
            return Some(error::Error::new(error::ErrorKind::NotCurrent, message));
        }
        if !self.desks.contains_key(key) {
            let message = format!("no document is in force for {key}");
            return Some(error::Error::new(error::ErrorKind::NotFound, message));
        }
        None
    }

    fn finished(
        &mut self,
        now: time::Monotonic,
        key: &protocol::DeskKey,
        request: u64,
        attempt: u32,
        outcome: router::Outcome,
    ) {
        self.with_desk(key, |desk| {
            if matches!(outcome, router::Outcome::Answered { .. } | router::Outcome::CallerGone) {
                desk.orders.remove(&request);
            }
            desk.router.finished(now, request, attempt, outcome);
        });
    }

    fn with_desk<F>(&mut self, key: &protocol::DeskKey, change: F)
    where
        F: FnOnce(&mut Desk),
    {
        if let Some(desk) = self.desks.get_mut(key) {
            change(desk);
            self.chores.extend(desk.act());
        }
    }

    fn drain(&mut self) {
        self.is_draining = true;
        for desk in self.desks.values_mut() {
            desk.router.start_draining();
            self.chores.extend(desk.act());
        }
    }

    fn show(&self, now: time::Monotonic) -> DispatchStatus {
        let desks = self.desks.values();
        DispatchStatus {
            revision: self.revision.unwrap_or(0),
            is_current: self.is_current(now),
            is_served: self.is_served(),
            is_draining: self.is_draining || self.is_unready,
            open_requests: desks.clone().map(|desk| desk.router.open_requests()).sum(),
            queued_requests: desks.clone().map(|desk| desk.router.queued_requests()).sum(),
            executors: self.rows.len(),
            documents: desks.map(|desk| (desk.key.to_string(), desk.view.version)).collect(),
        }
    }

    fn decisions(&self, request: Option<u64>) -> Vec<router::Decision> {
        let routers = self.desks.values().map(|desk| &desk.router);
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
    pub(super) fn take_is_heartbeat_due(&mut self, now: time::Monotonic) -> bool {
        let mut is_due = std::mem::take(&mut self.chores.is_demand_changed);
        for desk in self.desks.values_mut() {
            is_due |= !desk.router.take_changed_holdings(now).is_empty();
        }
        is_due
    }

    /// Returns whether no request is open and none may still be running at an executor.
    fn is_idle(&self) -> bool {
        let mut desks = self.desks.values();
        let is_closed = desks.clone().all(|desk| desk.router.open_requests() == 0);
        is_closed
            && desks.all(|desk| self.rows.keys().all(|name| desk.router.slots_in_use(name) == 0))
    }

    /// Returns whether the entry has the leader's table and slots of every service that has
    /// executors.
    fn is_served(&self) -> bool {
        let mut by_service: BTreeMap<(&protocol::DeskKey, &id::ServiceName), u32> = BTreeMap::new();
        for row in self.rows.values().filter(|row| !row.leaving) {
            *by_service.entry((&row.desk, &row.service)).or_default() += row.slots;
        }
        self.has_table && by_service.values().all(|slots| *slots > 0)
    }

    fn heartbeat(&mut self, now: time::Monotonic) -> protocol::EntryHeartbeat {
        let mut demand = Vec::new();
        let mut holdings = Vec::new();
        let mut avoided = Vec::new();
        for desk in self.desks.values_mut() {
            let services = desk.router.demand(now);
            demand.push(protocol::DeskDemand { desk: desk.key.clone(), services });
            holdings.extend(desk.router.holdings(protocol::SOURCE));
            desk.observe();
            avoided.extend(desk.router.avoided(protocol::SOURCE));
        }
        let revision = self.revision.unwrap_or(0);
        let draining = self.is_draining;
        let is_over = draining && self.is_idle();
        protocol::EntryHeartbeat { revision, demand, holdings, avoided, draining, is_over }
    }
}
