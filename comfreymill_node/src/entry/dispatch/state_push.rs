use std::collections::BTreeSet;

use comfreymill_route::router;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;

use super::desk::Desk;
use super::state::State;
use crate::metering::observe;
use crate::protocol;

/// # State pushed by the leader
impl State {
    pub(super) fn push(&mut self, now: time::Monotonic, push: protocol::Push) {
        match push {
            protocol::Push::Documents { revision, documents } => {
                self.take_documents(revision, documents);
                self.refresh_tables(now, None);
            }
            protocol::Push::Executors { term, is_whole, rows, gone } => {
                if term < self.term {
                    return;
                }
                self.term = term;
                self.has_table |= is_whole;
                let changed = self.take_rows(is_whole, rows, &gone);
                self.refresh_tables(now, Some(&changed));
            }
        }
    }

    pub(super) fn leased(
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
        for desk in self.desks.values_mut() {
            desk.router.set_lease(now, protocol::SOURCE, until);
            self.chores.extend(desk.act());
        }
    }

    fn take_documents(&mut self, revision: u64, documents: Vec<protocol::DocumentView>) {
        if self.revision.is_some_and(|present| revision < present) {
            log::warn!(target: "entry", "Ignoring documents of revision {revision}: a newer revision is in force.");
            return;
        }
        for view in documents {
            self.take_document(view);
        }
        self.revision = Some(revision);
    }

    fn take_document(&mut self, view: protocol::DocumentView) {
        let present = self.desks.get(&view.desk);
        if present.is_some_and(|desk| desk.view.revision >= view.revision) {
            return;
        }
        let document = match document::Environment::parse(view.text.as_bytes()) {
            Ok(document) => document,
            Err(problems) => {
                log::error!(target: "entry", "Ignoring the document of {}, which cannot be parsed: {}.", view.desk, problems[0]);
                return;
            }
        };
        log::info!(target: "entry", "Version {} of {} is in force.", view.version, view.desk);
        observe::version_in_force(&view.desk.environment, view.desk.stage, view.version);
        if let Some(desk) = self.desks.get_mut(&view.desk) {
            desk.replace(view, document);
        } else {
            let mut desk = Desk::new(self.cfg.router.clone(), view, document);
            if self.is_draining {
                desk.router.start_draining();
            }
            self.desks.insert(desk.key.clone(), desk);
        }
    }

    /// Applies changed and removed executors, and returns the environments and stages affected.
    fn take_rows(
        &mut self,
        is_whole: bool,
        rows: Vec<protocol::ExecutorRow>,
        gone: &[id::ExecutorName],
    ) -> BTreeSet<protocol::DeskKey> {
        let mut changed = BTreeSet::new();
        if is_whole {
            changed.extend(self.rows.values().map(|row| row.desk.clone()));
            self.rows.clear();
        }
        for name in gone {
            changed.extend(self.rows.remove(name).map(|row| row.desk));
        }
        for row in rows {
            changed.insert(row.desk.clone());
            self.rows.insert(row.name.clone(), row);
        }
        changed
    }

    /// Updates the executor tables of the changed routers, or of all if `changed` is `None`.
    fn refresh_tables(
        &mut self,
        now: time::Monotonic,
        changed: Option<&BTreeSet<protocol::DeskKey>>,
    ) {
        self.table_version += 1;
        let until = self.lease_until;
        for desk in self.desks.values_mut() {
            if changed.is_some_and(|changed| !changed.contains(&desk.key)) {
                continue;
            }
            let mine = self.rows.values().filter(|row| row.desk == desk.key);
            let executors = mine.clone().map(executor_view).collect();
            let far = mine.filter(|row| row.region != *self.cfg.router.get_region());
            desk.far_regions = far.map(|row| (row.name.clone(), row.region.clone())).collect();
            let version = self.table_version;
            desk.router.update_executors(
                now,
                router::Table { source: protocol::SOURCE, version, executors },
            );
            desk.router.set_lease(now, protocol::SOURCE, until);
            self.chores.extend(desk.act());
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
