use std::collections::BTreeSet;

use comfreymill_route::router;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;

use super::stage_router::StageRouter;
use super::state::State;
use crate::metering::observe;
use crate::protocol;

/// # State pushed by the leader
impl State {
    pub(super) fn apply_push(&mut self, now: time::Monotonic, push: protocol::Push) {
        match push {
            protocol::Push::Documents { revision, documents } => {
                self.update_documents(revision, documents);
                self.refresh_tables(now, None);
            }
            protocol::Push::Executors { term, is_whole, rows, gone } => {
                if term < self.term {
                    return;
                }
                self.term = term;
                self.has_table |= is_whole;
                let changed = self.update_executors(is_whole, rows, &gone);
                self.refresh_tables(now, Some(&changed));
            }
        }
    }

    pub(super) fn renew_lease(
        &mut self,
        now: time::Monotonic,
        until: time::Monotonic,
        lease: protocol::EntryLease,
    ) {
        // The lease confirms the leader's revision of the documents only; this entry may still
        // have an older one.
        if lease.term < self.term || self.revision != Some(lease.revision) {
            return;
        }
        self.term = lease.term;
        self.lease_until = self.lease_until.max(until);
        let until = self.lease_until;
        for stage in self.stages.values_mut() {
            stage.router.set_lease(now, protocol::SOURCE, until);
            self.effects.extend(stage.apply_actions());
        }
    }

    fn update_documents(&mut self, revision: u64, documents: Vec<protocol::DocumentView>) {
        if self.revision.is_some_and(|current| revision < current) {
            log::warn!(target: "entry", "Ignoring documents of revision {revision}: a newer revision is in force.");
            return;
        }
        for view in documents {
            self.update_document(view);
        }
        self.revision = Some(revision);
    }

    fn update_document(&mut self, view: protocol::DocumentView) {
        let current = self.stages.get(&view.environment_stage);
        if current.is_some_and(|stage| stage.view.revision >= view.revision) {
            return;
        }
        let document = match document::Environment::parse(view.text.as_bytes()) {
            Ok(document) => document,
            Err(problems) => {
                log::error!(target: "entry", "Ignoring the document of {}, which cannot be parsed: {}.", view.environment_stage, problems[0]);
                return;
            }
        };
        log::info!(target: "entry", "Version {} of {} is in force.", view.version, view.environment_stage);
        observe::version_in_force(
            &view.environment_stage.environment,
            view.environment_stage.stage,
            view.version,
        );
        if let Some(stage) = self.stages.get_mut(&view.environment_stage) {
            stage.replace(view, document);
        } else {
            let mut stage = StageRouter::new(self.cfg.router.clone(), view, document);
            if self.is_draining {
                stage.router.start_draining();
            }
            self.stages.insert(stage.key.clone(), stage);
        }
    }

    /// Applies changed and removed executors, and returns the environments and stages affected.
    fn update_executors(
        &mut self,
        is_whole: bool,
        rows: Vec<protocol::ExecutorRow>,
        gone: &[id::ExecutorName],
    ) -> BTreeSet<protocol::EnvironmentStage> {
        let mut changed = BTreeSet::new();
        if is_whole {
            changed.extend(self.executors.values().map(|row| row.environment_stage.clone()));
            self.executors.clear();
        }
        for name in gone {
            changed.extend(self.executors.remove(name).map(|row| row.environment_stage));
        }
        for row in rows {
            changed.insert(row.environment_stage.clone());
            self.executors.insert(row.name.clone(), row);
        }
        changed
    }

    /// Updates the executor tables of the changed routers, or of all if `changed` is `None`.
    fn refresh_tables(
        &mut self,
        now: time::Monotonic,
        changed: Option<&BTreeSet<protocol::EnvironmentStage>>,
    ) {
        self.table_version += 1;
        let until = self.lease_until;
        for stage in self.stages.values_mut() {
            if changed.is_some_and(|changed| !changed.contains(&stage.key)) {
                continue;
            }
            let rows = self.executors.values().filter(|row| row.environment_stage == stage.key);
            let executors = rows.clone().map(executor_view).collect();
            let remote = rows.filter(|row| row.region != *self.cfg.router.get_region());
            stage.remote_regions =
                remote.map(|row| (row.name.clone(), row.region.clone())).collect();
            let version = self.table_version;
            stage.router.update_executors(
                now,
                router::Table { source: protocol::SOURCE, version, executors },
            );
            stage.router.set_lease(now, protocol::SOURCE, until);
            self.effects.extend(stage.apply_actions());
        }
    }
}

fn executor_view(row: &protocol::ExecutorRow) -> router::ExecutorView {
    router::ExecutorView {
        name: row.name.clone(),
        incarnation: row.incarnation,
        service: row.service.clone(),
        address: row.address,
        region: row.region.clone(),
        zone: row.zone.clone(),
        slots: row.slots,
        connections: row.connections,
        epoch: row.epoch,
        leaving: row.leaving,
    }
}
