use std::collections::{BTreeMap, VecDeque};

use comfreymill_batch::action;
use comfreymill_batch::event;
use comfreymill_batch::scheduler;
use comfreymill_ledger::command;
use comfreymill_ledger::grant as ledger_grant;
use comfreymill_ledger::ledger;
use comfreymill_route::grant;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;

use super::entries::EntryInfo;
use super::executors::ExecutorInfo;
use crate::control::core::CoreConfig;
use crate::protocol;

/// State of the leader in one term.
pub(in crate::control) struct Leader {
    pub(super) term: u64,
    pub(super) became_leader_at: time::Monotonic,
    pub(super) initial_group_time: command::GroupTime,
    pub(super) granter_config: grant::Config,
    pub(super) documents: BTreeMap<protocol::EnvironmentStage, document::Environment>,
    /// Time until which requests under a previous document may still run, by environment and
    /// stage.
    pub(super) previous_documents_until: BTreeMap<protocol::EnvironmentStage, time::Monotonic>,
    pub(super) executors: BTreeMap<id::ExecutorName, ExecutorInfo>,
    pub(super) entries: BTreeMap<id::EntryName, EntryInfo>,
    pub(super) granters: BTreeMap<protocol::EnvironmentStage, grant::Granter>,
    pub(super) scheduler: scheduler::Scheduler,
    /// Actions of the scheduler that are not proposed yet, in order.
    pub(super) actions: VecDeque<action::Action>,
    /// Grant changes that are not proposed yet.
    pub(super) grant_changes: Vec<ledger_grant::Grant>,
    pub(super) is_table_due: bool,
    pub(super) last_grant_plan: time::Monotonic,
}

impl Leader {
    /// Creates the state of the leader of `term` from the replicated state.
    pub(in crate::control) fn new(
        cfg: &CoreConfig,
        ledger: &ledger::Ledger,
        term: u64,
        now: time::Monotonic,
    ) -> Self {
        let mut this = Self {
            term,
            became_leader_at: now,
            initial_group_time: ledger.get_now(),
            granter_config: cfg.granter.clone(),
            documents: BTreeMap::new(),
            previous_documents_until: BTreeMap::new(),
            executors: BTreeMap::new(),
            entries: BTreeMap::new(),
            granters: BTreeMap::new(),
            scheduler: scheduler::Scheduler::new(cfg.scheduler.clone(), now),
            actions: VecDeque::new(),
            grant_changes: Vec::new(),
            is_table_due: true,
            last_grant_plan: now,
        };
        this.documents_changed(now, ledger);
        this.recover_grants(now, ledger);
        this.recover_tasks(now, ledger);
        this
    }

    /// Returns the term in which this process is the leader.
    pub(in crate::control) fn get_term(&self) -> u64 {
        self.term
    }

    /// Returns the current group time: the last one in the ledger when this process became the
    /// leader, plus the time since then.
    pub(in crate::control) fn group_time(&self, now: time::Monotonic) -> command::GroupTime {
        self.initial_group_time.saturating_add(now.since(self.became_leader_at))
    }

    /// Returns the document in force in an environment and stage.
    pub(in crate::control) fn get_document(
        &self,
        stage_key: &protocol::EnvironmentStage,
    ) -> Option<&document::Environment> {
        self.documents.get(stage_key)
    }

    /// Iterates over all documents in force.
    pub(in crate::control) fn get_documents(&self) -> impl Iterator<Item = &document::Environment> {
        self.documents.values()
    }

    /// Runs the work that is due at `now`. Nothing is renewed or expired unless this replica may
    /// answer for the group.
    pub(in crate::control) fn tick(
        &mut self,
        now: time::Monotonic,
        cfg: &CoreConfig,
        is_serving: bool,
    ) {
        if !is_serving {
            return;
        }
        self.expire_executors(now, cfg.executor_timeout);
        self.expire_entries(now);
        self.expire_previous_documents(now);
        if now.since(self.last_grant_plan) >= cfg.grant_period {
            self.last_grant_plan = now;
            self.plan_grants(now);
        }
        self.scheduler_event(now, event::Event::Tick);
    }

    /// Loads the documents whose version changed.
    pub(in crate::control) fn documents_changed(
        &mut self,
        now: time::Monotonic,
        ledger: &ledger::Ledger,
    ) {
        for (environment, state) in ledger.get_environments() {
            for stage in [document::Stage::Trial, document::Stage::Production] {
                let Some(record) = state.get(stage) else { continue };
                let stage_key =
                    protocol::EnvironmentStage { environment: environment.clone(), stage };
                let is_known = self
                    .documents
                    .get(&stage_key)
                    .is_some_and(|known| known.version == record.version);
                if is_known {
                    continue;
                }
                match document::Environment::parse(record.text.as_bytes()) {
                    Ok(document) => {
                        let age =
                            self.group_time(now).as_millis().saturating_sub(record.at.as_millis());
                        let is_first = record.replaced == id::Version::NONE;
                        self.record_previous_document(now, &stage_key, is_first, age);
                        self.apply_document(now, &stage_key, document);
                    }
                    Err(problems) => {
                        let problem = &problems[0];
                        log::error!(
                            target: "control",
                            "Document of {stage_key} cannot be parsed: {problem}."
                        );
                    }
                }
            }
        }
    }

    fn apply_document(
        &mut self,
        now: time::Monotonic,
        stage_key: &protocol::EnvironmentStage,
        document: document::Environment,
    ) {
        let stage = stage_key.stage;
        let environment = Box::new(document.clone());
        self.scheduler_event(now, event::Event::DocumentInForce { stage, environment });
        self.documents.insert(stage_key.clone(), document);
        self.set_longest_deadline(now, stage_key);
    }
}
