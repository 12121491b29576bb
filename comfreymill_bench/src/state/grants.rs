use comfreymill_ledger::command::Command;
use comfreymill_ledger::grant;
use comfreymill_types::document;
use comfreymill_types::id;

use super::log::{Cost, Log};
use super::names;

/// Grants one slot of each executor to each entry, with one command per executor.
pub(super) fn add_grants(log: &mut Log, executors: usize, entries: usize, cost: &mut Cost) {
    for executor in 0..executors {
        let changes = (0..entries).map(|entry| grant(executor, entry)).collect();
        log.apply(Command::ChangeGrants { changes }, cost);
    }
}

pub(super) fn grant(executor: usize, entry: usize) -> grant::Grant {
    grant::Grant {
        key: grant::GrantKey {
            environment: names::environment(),
            stage: document::Stage::Production,
            executor: names::executor(executor),
            executor_incarnation: id::Incarnation::new(1_780_000_000_000_000),
            entry: names::entry(entry),
            entry_incarnation: id::Incarnation::new(1_780_000_000_000_000),
        },
        slots: 1,
        epoch: (3 << 32) + 1,
    }
}
