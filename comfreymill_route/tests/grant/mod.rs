use std::time::Duration;

use comfreymill_route::grant::{Config, GrantChange, Granter, Heartbeat};
use comfreymill_route::router::{Holding, ServiceDemand};
use comfreymill_types::id;
use comfreymill_types::time;

use crate::support;

fn heartbeat(entry: &str, incarnation: u64, demand: u32) -> Heartbeat {
    Heartbeat {
        entry: support::name(entry),
        incarnation: id::Incarnation::new(incarnation),
        region: support::name("south"),
        zone: support::name("south-a"),
        sequence: 1,
        demand: vec![ServiceDemand { service: support::name("register"), slots: demand }],
        holdings: Vec::new(),
        avoided: Vec::new(),
        draining: false,
    }
}

fn granter() -> Granter {
    let cfg = Config::default()
        .lease(Duration::from_secs(1))
        .longest_deadline(Duration::from_secs(1))
        .drift(0.0);
    Granter::recover(cfg, 0, 1, support::ms(0), [])
}

/// Ticks the granter and commits the changes that it proposes.
fn commit(granter: &mut Granter, now: time::Monotonic) -> Vec<GrantChange> {
    granter.tick(now);
    let changes = granter.take_changes();
    for change in &changes {
        granter.committed(change);
    }
    changes
}

/// Returns the holdings that an entry reports when it uses all slots in its table.
fn holdings(granter: &mut Granter, entry: &str, incarnation: u64) -> Vec<Holding> {
    let incarnation = id::Incarnation::new(incarnation);
    let table =
        granter.table(support::ms(9_999), &support::name(entry), incarnation).expect("complete");
    let holding = |view: comfreymill_route::router::ExecutorView| Holding {
        executor: view.name,
        incarnation: view.incarnation,
        epoch: view.epoch,
        slots: view.slots,
    };
    table.executors.into_iter().map(holding).collect()
}

fn shown(granter: &mut Granter, entry: &str, incarnation: u64) -> u32 {
    holdings(granter, entry, incarnation).iter().map(|holding| holding.slots).sum()
}

#[test]
fn a_grant_is_shown_only_once_committed() {
    let mut granter = granter();
    granter.executor_announced(support::announcement("e1", 1, 8));
    granter.heartbeat(support::ms(0), &heartbeat("a", 1, 4));
    granter.tick(support::ms(1));
    assert_eq!(shown(&mut granter, "a", 1), 0);
    let changes = granter.take_changes();
    changes.iter().for_each(|change| granter.committed(change));
    assert!(shown(&mut granter, "a", 1) >= 4);
}

#[test]
fn slots_move_to_demand_only_after_they_were_returned() {
    let mut granter = granter();
    granter.executor_announced(support::announcement("e1", 1, 8));
    granter.heartbeat(support::ms(0), &heartbeat("a", 1, 8));
    commit(&mut granter, support::ms(1));
    assert_eq!(shown(&mut granter, "a", 1), 8);
    granter.heartbeat(support::ms(10), &heartbeat("b", 1, 6));
    commit(&mut granter, support::ms(11));
    assert_eq!(shown(&mut granter, "a", 1), 4);
    assert_eq!(shown(&mut granter, "b", 1), 0);
    let mut returned = heartbeat("a", 1, 8);
    returned.holdings = holdings(&mut granter, "a", 1);
    granter.heartbeat(support::ms(20), &returned);
    commit(&mut granter, support::ms(21));
    assert_eq!(shown(&mut granter, "b", 1), 4);
    assert_eq!(granter.granted(&support::name("e1")), 8);
}

#[test]
fn a_silent_entry_keeps_its_grants_until_lease_and_deadline_passed() {
    let mut granter = granter();
    granter.executor_announced(support::announcement("e1", 1, 8));
    granter.heartbeat(support::ms(0), &heartbeat("a", 1, 8));
    commit(&mut granter, support::ms(1));
    granter.heartbeat(support::ms(1_900), &heartbeat("b", 1, 8));
    commit(&mut granter, support::ms(1_999));
    assert_eq!(shown(&mut granter, "b", 1), 0);
    commit(&mut granter, support::ms(2_000));
    assert_eq!(shown(&mut granter, "b", 1), 8);
}

#[test]
fn a_restarted_entry_frees_its_grants_when_its_old_requests_have_expired() {
    let mut granter = granter();
    granter.executor_announced(support::announcement("e1", 1, 8));
    granter.heartbeat(support::ms(0), &heartbeat("a", 1, 8));
    commit(&mut granter, support::ms(1));
    granter.heartbeat(support::ms(100), &heartbeat("a", 2, 8));
    granter.heartbeat(support::ms(1_000), &heartbeat("a", 2, 8));
    commit(&mut granter, support::ms(1_099));
    assert_eq!(shown(&mut granter, "a", 2), 0);
    commit(&mut granter, support::ms(1_100));
    assert_eq!(shown(&mut granter, "a", 2), 8);
    assert!(!granter.heartbeat(support::ms(1_101), &heartbeat("a", 1, 8)));
}

#[test]
fn closed_connections_free_the_grants_of_an_earlier_incarnation() {
    let mut granter = granter();
    granter.executor_announced(support::announcement("e1", 1, 8));
    granter.heartbeat(support::ms(0), &heartbeat("a", 1, 8));
    commit(&mut granter, support::ms(1));
    granter.heartbeat(support::ms(100), &heartbeat("a", 2, 8));
    granter.connections_closed(&support::name("a"), id::Incarnation::new(1));
    commit(&mut granter, support::ms(101));
    assert_eq!(shown(&mut granter, "a", 2), 8);
}

#[test]
fn a_new_leader_recovers_the_grants_and_renews_the_leases() {
    let mut old = granter();
    old.executor_announced(support::announcement("e1", 1, 8));
    old.heartbeat(support::ms(0), &heartbeat("a", 1, 8));
    let log = commit(&mut old, support::ms(1));
    let cfg = Config::default()
        .lease(Duration::from_secs(1))
        .longest_deadline(Duration::from_secs(1))
        .drift(0.0);
    let mut new = Granter::recover(cfg, 0, 2, support::ms(5_000), log);
    new.executor_announced(support::announcement("e1", 1, 8));
    new.heartbeat(support::ms(6_500), &heartbeat("b", 1, 8));
    commit(&mut new, support::ms(6_999));
    assert_eq!(shown(&mut new, "a", 1), 8);
    assert_eq!(shown(&mut new, "b", 1), 0);
    commit(&mut new, support::ms(7_000));
    assert_eq!(shown(&mut new, "b", 1), 8);
}

#[test]
fn a_new_leader_shows_no_table_before_the_executors_announced_themselves() {
    let mut old = granter();
    old.executor_announced(support::announcement("e1", 1, 8));
    old.heartbeat(support::ms(0), &heartbeat("a", 1, 8));
    let log = commit(&mut old, support::ms(1));
    let mut new = Granter::recover(Config::default(), 0, 2, support::ms(5_000), log);
    let entry = support::name("a");
    let incarnation = id::Incarnation::new(1);
    assert_eq!(new.table(support::ms(7_999), &entry, incarnation), None);
    assert!(new.table(support::ms(8_000), &entry, incarnation).is_some());
    new.executor_announced(support::announcement("e1", 1, 8));
    assert!(new.table(support::ms(5_001), &entry, incarnation).is_some());
}

#[test]
fn a_leaving_executor_is_recalled_and_granted_no_more() {
    let mut granter = granter();
    granter.executor_announced(support::announcement("e1", 1, 8));
    granter.heartbeat(support::ms(0), &heartbeat("a", 1, 8));
    commit(&mut granter, support::ms(1));
    granter.executor_leaving(&support::name("e1"), id::Incarnation::new(1));
    commit(&mut granter, support::ms(2));
    let incarnation = id::Incarnation::new(1);
    let table = granter.table(support::ms(3), &support::name("a"), incarnation).expect("complete");
    assert!(table.executors.iter().all(|view| view.leaving && view.slots == 0));
}

#[test]
fn a_restarted_executor_starts_with_no_grants() {
    let mut granter = granter();
    granter.executor_announced(support::announcement("e1", 1, 8));
    granter.heartbeat(support::ms(0), &heartbeat("a", 1, 8));
    commit(&mut granter, support::ms(1));
    granter.executor_announced(support::announcement("e1", 2, 8));
    commit(&mut granter, support::ms(2));
    assert_eq!(
        shown(&mut granter, "a", 1),
        0,
        "the grant on the old incarnation may still be in use"
    );
    let mut after_restart = heartbeat("a", 1, 8);
    after_restart.holdings = holdings(&mut granter, "a", 1);
    granter.heartbeat(support::ms(3), &after_restart);
    let changes = commit(&mut granter, support::ms(4));
    assert!(changes.iter().any(|change| change.slots == 0));
    assert_eq!(shown(&mut granter, "a", 1), 8);
    granter.executor_announced(support::announcement("e1", 1, 8));
    assert_eq!(
        shown(&mut granter, "a", 1),
        8,
        "a late announcement of the old incarnation is ignored"
    );
}

#[test]
fn every_entry_gets_a_share_and_executors_are_not_split_among_all() {
    let mut granter = granter();
    for number in 1..=16 {
        granter.executor_announced(support::announcement(&format!("e{number}"), 1, 8));
    }
    for entry in ["a", "b", "c", "d", "f", "g", "h", "i"] {
        granter.heartbeat(support::ms(0), &heartbeat(entry, 1, 200));
    }
    let changes = commit(&mut granter, support::ms(1));
    for entry in ["a", "b", "c", "d", "f", "g", "h", "i"] {
        assert_eq!(shown(&mut granter, entry, 1), 16);
    }
    for number in 1..=16 {
        let executor = support::name(&format!("e{number}"));
        let holders = changes.iter().filter(|change| change.executor == executor).count();
        assert!(holders <= 2, "{executor} is split among {holders}");
    }
}

#[test]
fn the_own_region_is_granted_before_another() {
    let mut granter = granter();
    granter.executor_announced(support::announcement("e1", 1, 8));
    let mut far = support::announcement("e2", 1, 8);
    far.region = support::name("north");
    granter.executor_announced(far);
    granter.heartbeat(support::ms(0), &heartbeat("a", 1, 6));
    let changes = commit(&mut granter, support::ms(1));
    assert!(changes.iter().all(|change| change.executor == support::name("e1")));
    let mut more = heartbeat("a", 1, 12);
    more.sequence = 2;
    granter.heartbeat(support::ms(2), &more);
    commit(&mut granter, support::ms(3));
    assert_eq!(granter.granted(&support::name("e2")), 4);
}

#[test]
fn an_entry_keeps_one_slot_of_an_executor_that_it_ejected() {
    let mut granter = granter();
    granter.executor_announced(support::announcement("e1", 1, 8));
    granter.executor_announced(support::announcement("e2", 1, 8));
    granter.heartbeat(support::ms(0), &heartbeat("a", 1, 8));
    granter.heartbeat(support::ms(0), &heartbeat("b", 1, 8));
    commit(&mut granter, support::ms(1));
    let mut avoiding = heartbeat("a", 1, 8);
    avoiding.avoided = vec![support::name("e1")];
    for step in 2..8 {
        avoiding.holdings = holdings(&mut granter, "a", 1);
        granter.heartbeat(support::ms(step), &avoiding);
        let mut other = heartbeat("b", 1, 8);
        other.holdings = holdings(&mut granter, "b", 1);
        granter.heartbeat(support::ms(step), &other);
        commit(&mut granter, support::ms(step));
    }
    let held = holdings(&mut granter, "a", 1);
    let slots: Vec<u32> = held.iter().map(|holding| holding.slots).collect();
    assert_eq!(slots, [1, 4]);
    assert!(shown(&mut granter, "b", 1) >= 8, "the other entry is granted the remaining slots");
}

/// Returns a granter with one executor: entry `a` holds its 8 slots, and 4 of them are being
/// recalled for entry `b`.
fn recalling() -> Granter {
    let mut granter = granter();
    granter.executor_announced(support::announcement("e1", 1, 8));
    granter.heartbeat(support::ms(0), &heartbeat("a", 1, 8));
    commit(&mut granter, support::ms(1));
    granter.heartbeat(support::ms(2), &heartbeat("b", 1, 6));
    commit(&mut granter, support::ms(3));
    assert_eq!(shown(&mut granter, "a", 1), 4);
    granter
}

fn leaving(entry: &str) -> Heartbeat {
    let mut leaving = heartbeat(entry, 1, 0);
    leaving.draining = true;
    leaving
}

#[test]
fn a_holding_of_an_older_epoch_does_not_lower_the_grant() {
    let mut granter = recalling();
    let mut delayed = heartbeat("a", 1, 8);
    delayed.holdings = holdings(&mut granter, "a", 1);
    granter.heartbeat(support::ms(4), &leaving("b"));
    commit(&mut granter, support::ms(5));
    assert_eq!(shown(&mut granter, "a", 1), 8, "the recall is cancelled");
    granter.heartbeat(support::ms(6), &heartbeat("b", 1, 6));
    commit(&mut granter, support::ms(7));
    granter.heartbeat(support::ms(8), &delayed);
    commit(&mut granter, support::ms(9));
    assert_eq!(shown(&mut granter, "b", 1), 0);
}

#[test]
fn a_lowered_grant_is_not_shown_larger_before_the_next_commit() {
    let mut granter = recalling();
    let mut returned = heartbeat("a", 1, 8);
    returned.holdings = holdings(&mut granter, "a", 1);
    granter.heartbeat(support::ms(4), &returned);
    granter.heartbeat(support::ms(5), &leaving("b"));
    granter.tick(support::ms(6));
    assert_eq!(shown(&mut granter, "a", 1), 4);
    for change in granter.take_changes() {
        granter.committed(&change);
    }
    assert_eq!(shown(&mut granter, "a", 1), 8);
}
