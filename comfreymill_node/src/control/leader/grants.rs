use std::collections::BTreeMap;

use comfreymill_ledger::grant as ledger_grant;
use comfreymill_ledger::ledger;
use comfreymill_ledger::request;
use comfreymill_route::grant;
use comfreymill_route::router;
use comfreymill_types::time;

use super::Leader;
use crate::protocol;

/// # Grants
impl Leader {
    /// Removes and returns the grant changes to propose.
    pub(in crate::control) fn take_grant_changes(&mut self) -> Vec<ledger_grant::Grant> {
        std::mem::take(&mut self.grant_changes)
    }

    /// Applies committed changes to the granters.
    pub(in crate::control) fn grants_committed(&mut self, changes: &[ledger_grant::Grant]) {
        for change in changes {
            if let Some(granter) = self.granters.get_mut(&stage_key(change)) {
                granter.committed(&grant_change(change));
            }
        }
        self.is_table_due = true;
    }

    /// Requeues changes that could not be proposed, ahead of newer changes.
    pub(in crate::control) fn requeue_grant_changes(&mut self, changes: Vec<ledger_grant::Grant>) {
        let later = std::mem::replace(&mut self.grant_changes, changes);
        self.grant_changes.extend(later);
    }

    /// Returns whether the executor tables of entries may have changed since the last call, and
    /// clears the mark.
    pub(in crate::control) fn take_table_due(&mut self) -> bool {
        std::mem::take(&mut self.is_table_due)
    }

    /// Marks the executor tables of entries as due for the next push.
    pub(in crate::control) fn set_table_due(&mut self) {
        self.is_table_due = true;
    }

    /// Returns the executors with the slots and connections that one entry may use, or `None` while
    /// this leader still waits for announcements of executors with grants.
    pub(in crate::control) fn executor_table(
        &mut self,
        now: time::Monotonic,
        owner: &request::Owner,
    ) -> Option<Vec<protocol::ExecutorRow>> {
        let mut rows = Vec::new();
        for (stage_key, granter) in &mut self.granters {
            let table = granter.table(now, &owner.entry, owner.incarnation)?;
            rows.extend(table.executors.into_iter().map(|view| row(stage_key, view)));
        }
        Some(rows)
    }

    /// Adjusts grants to demand and collects the resulting changes.
    pub(super) fn plan_grants(&mut self, now: time::Monotonic) {
        for granter in self.granters.values_mut() {
            granter.tick(now);
        }
        self.collect_grant_changes();
    }

    pub(super) fn collect_grant_changes(&mut self) {
        for (stage_key, granter) in &mut self.granters {
            self.is_table_due |= granter.take_view_changed();
            for change in granter.take_changes() {
                self.grant_changes.push(ledger_change(stage_key, change));
                self.is_table_due = true;
            }
        }
    }

    pub(super) fn get_or_create_granter(
        &mut self,
        now: time::Monotonic,
        stage_key: &protocol::EnvironmentStage,
    ) -> &mut grant::Granter {
        let longest = self.get_longest_deadline(now, stage_key);
        let (cfg, term) = (&self.granter_config, self.term);
        let cfg = cfg.clone().longest_deadline(longest);
        self.granters
            .entry(stage_key.clone())
            .or_insert_with(|| grant::Granter::recover(cfg, protocol::SOURCE, term, now, []))
    }

    pub(super) fn recover_grants(&mut self, now: time::Monotonic, ledger: &ledger::Ledger) {
        let mut by_stage_key: BTreeMap<protocol::EnvironmentStage, Vec<grant::GrantChange>> =
            BTreeMap::new();
        for change in ledger.get_grants().values() {
            by_stage_key.entry(stage_key(change)).or_default().push(grant_change(change));
        }
        for (stage_key, grants) in by_stage_key {
            let longest = self.get_longest_deadline(now, &stage_key);
            let cfg = self.granter_config.clone().longest_deadline(longest);
            let granter = grant::Granter::recover(cfg, protocol::SOURCE, self.term, now, grants);
            self.granters.insert(stage_key, granter);
        }
    }
}

fn stage_key(change: &ledger_grant::Grant) -> protocol::EnvironmentStage {
    protocol::EnvironmentStage {
        environment: change.key.environment.clone(),
        stage: change.key.stage,
    }
}

fn grant_change(change: &ledger_grant::Grant) -> grant::GrantChange {
    grant::GrantChange {
        executor: change.key.executor.clone(),
        executor_incarnation: change.key.executor_incarnation,
        entry: change.key.entry.clone(),
        entry_incarnation: change.key.entry_incarnation,
        slots: change.slots,
        epoch: change.epoch,
    }
}

fn ledger_change(
    stage_key: &protocol::EnvironmentStage,
    change: grant::GrantChange,
) -> ledger_grant::Grant {
    ledger_grant::Grant {
        key: ledger_grant::GrantKey {
            environment: stage_key.environment.clone(),
            stage: stage_key.stage,
            executor: change.executor,
            executor_incarnation: change.executor_incarnation,
            entry: change.entry,
            entry_incarnation: change.entry_incarnation,
        },
        slots: change.slots,
        epoch: change.epoch,
    }
}

fn row(
    stage_key: &protocol::EnvironmentStage,
    view: router::ExecutorView,
) -> protocol::ExecutorRow {
    protocol::ExecutorRow {
        environment_stage: stage_key.clone(),
        name: view.name,
        incarnation: view.incarnation,
        service: view.service,
        address: view.address,
        region: view.region,
        zone: view.zone,
        slots: view.slots,
        connections: view.connections,
        epoch: view.epoch,
        leaving: view.leaving,
    }
}
