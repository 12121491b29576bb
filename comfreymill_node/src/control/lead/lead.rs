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

/// Leader's view and decisions in one term.
pub(in crate::control) struct Lead {
    pub(super) term: u64,
    pub(super) since: time::Monotonic,
    pub(super) began: command::GroupTime,
    pub(super) granter_config: grant::Config,
    pub(super) documents: BTreeMap<protocol::DeskKey, document::Environment>,
    /// Until when requests under an earlier document of a desk may still run.
    pub(super) earlier_until: BTreeMap<protocol::DeskKey, time::Monotonic>,
    pub(super) executors: BTreeMap<id::ExecutorName, ExecutorInfo>,
    pub(super) entries: BTreeMap<id::EntryName, EntryInfo>,
    pub(super) granters: BTreeMap<protocol::DeskKey, grant::Granter>,
    pub(super) scheduler: scheduler::Scheduler,
    /// Actions to propose, in order.
    pub(super) actions: VecDeque<action::Action>,
    /// Changes of grants to propose.
    pub(super) grant_changes: Vec<ledger_grant::Grant>,
    pub(super) is_table_due: bool,
    pub(super) granted_at: time::Monotonic,
}

impl Lead {
    /// Leader of `term` that goes on from the replicated state.
    pub(in crate::control) fn new(
        cfg: &CoreConfig,
        ledger: &ledger::Ledger,
        term: u64,
        now: time::Monotonic,
    ) -> Self {
        let mut this = Self {
            term,
            since: now,
            began: ledger.get_now(),
            granter_config: cfg.granter.clone(),
            documents: BTreeMap::new(),
            earlier_until: BTreeMap::new(),
            executors: BTreeMap::new(),
            entries: BTreeMap::new(),
            granters: BTreeMap::new(),
            scheduler: scheduler::Scheduler::new(cfg.scheduler.clone(), now),
            actions: VecDeque::new(),
            grant_changes: Vec::new(),
            is_table_due: true,
            granted_at: now,
        };
        this.documents_changed(now, ledger);
        this.recover_grants(now, ledger);
        this.recover_tasks(now, ledger);
        this
    }

    /// Term in which this process leads.
    pub(in crate::control) fn get_term(&self) -> u64 {
        self.term
    }

    /// Time of the group.
    pub(in crate::control) fn group_time(&self, now: time::Monotonic) -> command::GroupTime {
        self.began.saturating_add(now.since(self.since))
    }

    /// Document in force.
    pub(in crate::control) fn get_document(
        &self,
        desk: &protocol::DeskKey,
    ) -> Option<&document::Environment> {
        self.documents.get(desk)
    }

    /// Every document in force.
    pub(in crate::control) fn get_documents(&self) -> impl Iterator<Item = &document::Environment> {
        self.documents.values()
    }

    /// Does what is due by `now`; nothing is renewed or ended unless this replica may answer for
    /// the group.
    pub(in crate::control) fn tick(
        &mut self,
        now: time::Monotonic,
        cfg: &CoreConfig,
        is_serving: bool,
    ) {
        if !is_serving {
            return;
        }
        self.expire_executors(now, cfg.executor_silence);
        self.expire_entries(now);
        self.end_earlier_documents(now);
        if now.since(self.granted_at) >= cfg.grant_period {
            self.granted_at = now;
            self.plan_grants(now);
        }
        self.scheduler_event(now, event::Event::Tick);
    }

    /// Takes documents in that changed.
    pub(in crate::control) fn documents_changed(
        &mut self,
        now: time::Monotonic,
        ledger: &ledger::Ledger,
    ) {
        for (environment, state) in ledger.get_environments() {
            for stage in [document::Stage::Trial, document::Stage::Production] {
                let Some(record) = state.get(stage) else { continue };
                let desk = protocol::DeskKey { environment: environment.clone(), stage };
                let is_known =
                    self.documents.get(&desk).is_some_and(|known| known.version == record.version);
                if is_known {
                    continue;
                }
                match document::Environment::parse(record.text.as_bytes()) {
                    Ok(document) => {
                        let age =
                            self.group_time(now).as_millis().saturating_sub(record.at.as_millis());
                        let is_first = record.replaced == id::Version::NONE;
                        self.note_earlier(now, &desk, is_first, age);
                        self.document_in_force(now, &desk, document);
                    }
                    Err(problems) => {
                        let problem = &problems[0];
                        log::error!(target: "control", "Document {desk} is not read: {problem}.");
                    }
                }
            }
        }
    }

    fn document_in_force(
        &mut self,
        now: time::Monotonic,
        desk: &protocol::DeskKey,
        document: document::Environment,
    ) {
        let stage = desk.stage;
        let environment = Box::new(document.clone());
        self.scheduler_event(now, event::Event::DocumentInForce { stage, environment });
        self.documents.insert(desk.clone(), document);
        self.set_longest_deadline(now, desk);
    }
}
