//! Tests of the decisions about turns: every kind of input is served, whatever the others send.

use std::time::Duration;

use comfreymill_node::scheduler::turns::{
    Backlog, Bounds, Kind, Leading, Level, Overload, Pacer, give_orders,
};
use comfreymill_types::time;

/// Number of inputs of the kind that floods the loop.
const FLOOD: usize = 10_000;

fn flooded(flooding: &[Kind]) -> Backlog<usize> {
    let mut backlog = Backlog::default();
    for kind in flooding {
        for number in 0..FLOOD {
            backlog.push(*kind, time::Monotonic::ZERO, number);
        }
    }
    backlog
}

/// Handles one turn and returns the kinds of its inputs in order.
fn run_turn<T>(backlog: &mut Backlog<T>) -> Vec<Kind> {
    backlog.begin_turn();
    std::iter::from_fn(|| backlog.next_input()).map(|queued| queued.kind).collect()
}

#[test]
fn no_kind_is_starved_by_another() {
    for flooding in Kind::ALL {
        for starved in Kind::ALL.into_iter().filter(|kind| *kind != flooding) {
            let mut backlog = flooded(&[flooding]);
            backlog.push(starved, time::Monotonic::ZERO, 0);
            let handled = run_turn(&mut backlog);
            assert!(handled.contains(&starved), "{starved:?} is starved by {flooding:?}");
        }
    }
}

#[test]
fn no_kind_is_starved_by_all_others_together() {
    for starved in Kind::ALL {
        let others: Vec<Kind> = Kind::ALL.into_iter().filter(|kind| *kind != starved).collect();
        let mut backlog = flooded(&others);
        backlog.push(starved, time::Monotonic::ZERO, 0);
        assert!(run_turn(&mut backlog).contains(&starved), "{starved:?} is starved");
    }
}

#[test]
fn a_turn_is_bounded_and_goes_on_with_the_next() {
    let bound: usize = Kind::ALL.iter().map(|kind| kind.quota()).sum();
    let mut backlog = flooded(&Kind::ALL);
    let mut turns = 0;
    let mut handled = 0;
    while !backlog.is_empty() {
        let in_turn = run_turn(&mut backlog).len();
        assert!((1..=bound).contains(&in_turn), "{in_turn} inputs in one turn");
        handled += in_turn;
        turns += 1;
    }
    assert_eq!(handled, FLOOD * Kind::ALL.len());
    let longest = Kind::ALL.iter().map(|kind| FLOOD.div_ceil(kind.quota())).max();
    assert_eq!(Some(turns), longest);
}

#[test]
fn urgent_kinds_go_first_even_when_they_arrive_last() {
    let mut backlog = flooded(&[Kind::Report, Kind::Announcement]);
    backlog.push(Kind::Departure, time::Monotonic::ZERO, 0);
    backlog.push(Kind::Agreement, time::Monotonic::ZERO, 0);
    let handled = run_turn(&mut backlog);
    assert_eq!(handled[..3], [Kind::Agreement, Kind::Departure, Kind::Report]);
}

#[test]
fn inputs_of_a_kind_keep_their_order() {
    let mut backlog = flooded(&[Kind::Report]);
    backlog.begin_turn();
    let numbers: Vec<usize> =
        std::iter::from_fn(|| backlog.next_input()).map(|queued| queued.input).collect();
    assert_eq!(numbers, (0..Kind::Report.quota()).collect::<Vec<_>>());
}

#[test]
fn rounds_of_placement_leave_as_much_time_for_inputs() {
    let at = time::Monotonic::from_millis;
    let mut pacer = Pacer::new(Duration::from_millis(10));
    assert!(pacer.is_due(at(5)));
    pacer.done(at(5), at(6));
    assert!(!pacer.is_due(at(15)));
    assert!(pacer.is_due(at(16)));
    pacer.done(at(16), at(316));
    assert!(!pacer.is_due(at(615)), "a round of 300 ms is followed by 300 ms for inputs");
    assert!(pacer.is_due(at(616)));
}

fn overload() -> Overload {
    Overload::new(Some(Bounds {
        defer_after: Duration::from_millis(200),
        refuse_after: Duration::from_millis(1_000),
    }))
}

#[test]
fn what_nobody_waits_for_is_put_off_before_jobs_are_refused() {
    let (at, wait) = (time::Monotonic::from_millis, Duration::from_millis);
    let mut overload = overload();
    assert_eq!(overload.update(at(0), wait(199)), None);
    assert_eq!(overload.update(at(1), wait(200)), Some(Level::Deferring));
    assert_eq!(overload.update(at(2), wait(999)), None);
    assert_eq!(overload.update(at(3), wait(1_000)), Some(Level::Refusing));
}

#[test]
fn a_level_falls_only_after_the_load_has_stayed_low() {
    let (at, wait) = (time::Monotonic::from_millis, Duration::from_millis);
    let mut overload = overload();
    overload.update(at(0), wait(1_500));
    assert_eq!(overload.update(at(100), wait(600)), None, "not low enough");
    assert_eq!(overload.update(at(200), wait(400)), None);
    assert_eq!(overload.update(at(600), wait(700)), None, "the calm is interrupted");
    assert_eq!(overload.update(at(700), wait(400)), None);
    assert_eq!(overload.update(at(1_199), wait(0)), None);
    assert_eq!(overload.update(at(1_200), wait(0)), Some(Level::Deferring));
    assert_eq!(overload.update(at(1_300), wait(0)), None);
    assert_eq!(overload.update(at(1_800), wait(0)), Some(Level::Normal));
}

#[test]
fn without_bounds_nothing_is_refused() {
    let mut overload = Overload::new(None);
    assert_eq!(overload.update(time::Monotonic::ZERO, Duration::from_secs(60)), None);
    assert_eq!(overload.level(), Level::Normal);
}

#[test]
fn refused_callers_return_later_the_longer_inputs_wait_and_spread() {
    let mut overload = overload();
    overload.update(time::Monotonic::ZERO, Duration::from_secs(2));
    assert!(overload.retry_after(0.0) >= Duration::from_secs(2));
    assert!(overload.retry_after(1.0) >= overload.retry_after(0.0) + Duration::from_secs(2));
}

#[test]
fn only_the_refused_inputs_leave_the_backlog() {
    let mut backlog = Backlog::default();
    for number in 0..10 {
        backlog.push(Kind::Caller, time::Monotonic::ZERO, number);
        backlog.push(Kind::Departure, time::Monotonic::ZERO, number);
    }
    assert_eq!(backlog.remove_if(Kind::Caller, |number| number % 2 == 0), [0, 2, 4, 6, 8]);
    assert_eq!((backlog.len(Kind::Caller), backlog.len(Kind::Departure)), (5, 10));
}

#[test]
fn the_longest_wait_leaves_out_agreement() {
    let at = time::Monotonic::from_millis;
    let mut backlog = Backlog::default();
    backlog.push(Kind::Agreement, at(0), ());
    backlog.push(Kind::Report, at(100), ());
    assert_eq!(backlog.longest_wait(at(400)), Duration::from_millis(300));
}

/// Leader whose lease ends at a time, and whose process is suspended while it decides.
struct Suspended {
    clock: time::Monotonic,
    lease_until: time::Monotonic,
    suspended_for: Duration,
    kept: usize,
    sent: usize,
}

impl Leading for Suspended {
    fn now(&self) -> time::Monotonic {
        self.clock
    }

    fn is_serving(&self, now: time::Monotonic) -> bool {
        now < self.lease_until
    }

    fn place(&mut self, _: time::Monotonic) {
        self.kept += 1;
        self.clock = self.clock + self.suspended_for;
    }

    fn send_orders(&mut self) {
        self.sent += std::mem::take(&mut self.kept);
    }
}

#[test]
fn a_leader_that_is_suspended_between_its_lease_check_and_its_order_sends_nothing() {
    let at = time::Monotonic::from_millis;
    let suspended_for = Duration::from_millis(500);
    let mut leader =
        Suspended { clock: at(100), lease_until: at(400), suspended_for, kept: 0, sent: 0 };
    assert!(!give_orders(&mut leader));
    assert_eq!((leader.kept, leader.sent), (1, 0), "the order is kept");
    assert!(!give_orders(&mut leader), "the lease is over before the decision");
    assert_eq!((leader.kept, leader.sent), (1, 0));
    leader.lease_until = at(2_000);
    assert!(give_orders(&mut leader), "the lease is valid again");
    assert_eq!((leader.kept, leader.sent), (0, 2));
}
