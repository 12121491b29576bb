use comfreymill_ledger::command::Command;
use comfreymill_ledger::grant::{Grant, GrantKey};
use comfreymill_types::document::Stage;
use comfreymill_types::id;

use crate::support::{Fixture, name};

fn grant(slots: u32, epoch: u64) -> Command {
    let key = GrantKey {
        environment: name("register"),
        stage: Stage::Production,
        executor: name("hr-1"),
        executor_incarnation: id::Incarnation::new(1),
        entry: name("entry-1"),
        entry_incarnation: id::Incarnation::new(1),
    };
    Command::ChangeGrants { changes: vec![Grant { key, slots, epoch }] }
}

#[test]
fn an_older_grant_never_replaces_a_newer_one() {
    let mut fixture = Fixture::default();
    for (slots, epoch, expected) in [(4, 5, 4), (8, 4, 4), (8, 5, 4), (2, 6, 2)] {
        fixture.apply(grant(slots, epoch));
        let granted: Vec<_> =
            fixture.ledger.get_grants().values().map(|grant| grant.slots).collect();
        assert_eq!(granted, [expected], "{slots} slots at epoch {epoch}");
    }
    fixture.apply(grant(0, 7));
    assert!(fixture.ledger.get_grants().is_empty());
}
