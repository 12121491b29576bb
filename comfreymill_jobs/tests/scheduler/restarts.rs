//! A worker that starts again may hold the longest lease that workers grant, because of an order that
//! was meant for its earlier incarnation.

use std::time::Duration;

use comfreymill_jobs::id::WorkerNumber;
use comfreymill_jobs::scheduler::{Answer, Config, Order, PollAnswer, StartAnswer};
use comfreymill_jobs::worker::{Announcement, Report};

use crate::support::{LEASE, Leader, Start, running, spec, step};

/// Longest lease that workers grant.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// Longer than a lease of this length on the slowest clock.
const OVER: Duration = Duration::from_millis(300);
/// Time after which an order that was not answered is not carried out any more.
const ORDER_DELAY: Duration = Duration::from_secs(12);

fn leader() -> Leader {
    Leader::with_config(Config::new(LEASE).max_lease(MAX_LEASE))
}

/// Registers the next incarnation of a worker, which begins now; returns its number.
fn restart(leader: &mut Leader, name: &str) -> WorkerNumber {
    let born = leader.unix_ms();
    let announced = Announcement { clock_ms: Some(0), ..leader.announcement(name, born) };
    leader.announce(announced);
    *leader.state.get_workers().last_key_value().expect("a worker").0
}

/// Returns a leader with a run on the second incarnation of a worker, and another worker with room.
fn one_restarted() -> (Leader, Start) {
    let mut leader = leader();
    leader.worker("w");
    let second = restart(&mut leader, "w");
    leader.report(second, Report::default());
    leader.submit(spec(vec![step(1)]));
    let start = leader.take_starts()[0];
    assert_eq!(start.worker, second);
    leader.started(&start, StartAnswer::Started);
    leader.report(second, running(&[start]));
    leader.worker("other");
    (leader, start)
}

/// Returns the next leader, which the other worker answers.
fn next_leader(leader: Leader) -> Leader {
    let mut leader = leader.into_next_leader();
    leader.settle();
    leader.worker_reports_nothing("other");
    leader
}

fn assert_started_after(leader: &mut Leader, span: Duration) {
    leader.advance(span - OVER);
    assert_eq!(leader.take_starts(), [], "the lease may not be over");
    leader.advance(2 * OVER);
    assert_eq!(leader.take_starts().len(), 1);
}

fn refuse_poll(leader: &mut Leader, worker: WorkerNumber) {
    let answer = Answer::Poll(PollAnswer::Fenced);
    leader.scheduler.answered(leader.now, worker, leader.now, answer);
    leader.settle();
}

/// The leader that had seen the restart counted with the longest lease, and the next one did not: it
/// started the task again while the run went on.
#[test]
fn the_next_leader_counts_with_the_longest_lease() {
    let (leader, _) = one_restarted();
    let mut next = next_leader(leader);
    assert_started_after(&mut next, ORDER_DELAY + MAX_LEASE);
}

#[test]
fn two_leaders_in_a_row_count_with_the_longest_lease() {
    let (leader, _) = one_restarted();
    let mut next = next_leader(leader);
    next.advance(Duration::from_secs(5));
    let mut last = next_leader(next);
    assert_started_after(&mut last, ORDER_DELAY - Duration::from_secs(5) + MAX_LEASE);
}

#[test]
fn a_restart_long_ago_changes_no_lease() {
    let (mut leader, start) = one_restarted();
    for _ in 0..50 {
        leader.advance(Duration::from_secs(1));
        leader.report(start.worker, running(&[start]));
    }
    let mut next = next_leader(leader);
    assert_started_after(&mut next, LEASE);
}

#[test]
fn a_worker_that_has_not_started_again_has_the_ordinary_lease() {
    let mut leader = leader();
    leader.worker("w");
    leader.submit(spec(vec![step(1)]));
    let start = leader.take_starts()[0];
    leader.started(&start, StartAnswer::Started);
    leader.worker("other");
    let mut next = next_leader(leader);
    assert_started_after(&mut next, LEASE);
}

/// An order that is carried out after the registration grants the longest lease as well, until the
/// incarnation has answered one with the raised fencing token.
#[test]
fn the_longest_lease_counts_from_the_first_answer() {
    let mut leader = leader();
    leader.worker("w");
    let second = restart(&mut leader, "w");
    leader.advance(Duration::from_secs(3));
    leader.report(second, Report::default());
    leader.submit(spec(vec![step(1)]));
    let start = leader.take_starts()[0];
    leader.started(&start, StartAnswer::Started);
    leader.worker("other");
    // A worker that does not answer is polled without a lease.
    leader.leaves_poll_unanswered(second);
    assert_started_after(&mut leader, MAX_LEASE);
}

/// An order that was not answered may be carried out by the next incarnation seconds later.
#[test]
fn an_unanswered_order_may_be_carried_out_by_the_next_incarnation() {
    let mut leader = leader();
    let first = leader.worker("w");
    leader.submit(spec(vec![step(1)]));
    let start = leader.take_starts()[0];
    leader.started(&start, StartAnswer::Unknown);
    leader.worker("other");
    let second = restart(&mut leader, "w");
    leader.leaves_poll_unanswered(second);
    assert_eq!(start.worker, first);
    assert_started_after(&mut leader, ORDER_DELAY + MAX_LEASE);
}

#[test]
fn the_fencing_token_is_raised_before_an_incarnation_that_has_started_again_is_registered() {
    let mut leader = leader();
    let began = leader.state.get_fence();
    leader.worker("w");
    assert_eq!(leader.state.get_fence(), began, "it has not started again");
    let second = restart(&mut leader, "w");
    let raised = leader.state.get_fence();
    assert!(raised > began);
    assert_eq!(leader.scheduler.get_fence(), raised);
    assert_eq!(leader.scheduler.get_first_fence(), began);
    assert!(leader.state.is_restarted(second));

    leader.advance(Duration::from_millis(1));
    let third = restart(&mut leader, "w");
    assert!(leader.state.get_fence() > raised, "an incarnation follows another one at once");
    assert!(leader.state.is_restarted(third));
}

#[test]
fn a_worker_that_was_removed_before_it_starts_again_is_known() {
    let mut leader = leader();
    let first = leader.worker("w");
    let dropped = comfreymill_jobs::state::Command::DropWorkers { workers: vec![first] };
    leader.commit(vec![dropped]);
    let mut next = leader.into_next_leader();
    let fence = next.state.get_fence();
    let second = restart(&mut next, "w");
    assert!(next.state.get_fence() > fence);
    assert!(next.state.is_restarted(second));
}

/// The next incarnation refuses what is sent under the token of the earlier one; the leader took
/// every such refusal for that of a later leader, and gave no more orders.
#[test]
fn a_refusal_by_the_next_incarnation_does_not_depose_the_leader() {
    let mut leader = leader();
    let first = leader.worker("w");
    leader.submit(spec(vec![step(1)]));
    let start = leader.take_starts()[0];
    restart(&mut leader, "w");
    let refused = StartAnswer::Refused(comfreymill_jobs::scheduler::Refusal::Fenced);
    leader.started(&start, refused);
    refuse_poll(&mut leader, first);
    assert!(!leader.scheduler.is_fenced());
}

#[test]
fn a_refusal_by_a_worker_without_a_next_incarnation_deposes_the_leader() {
    let mut leader = leader();
    let first = leader.worker("w");
    refuse_poll(&mut leader, first);
    assert!(leader.scheduler.is_fenced());
}

/// Commands that could not be proposed are proposed again with the token that they need.
#[test]
fn the_token_is_requested_again_with_the_registration() {
    let mut leader = leader();
    leader.worker("w");
    let born = leader.unix_ms();
    let announced = Announcement { clock_ms: Some(0), ..leader.announcement("w", born) };
    let _ = leader.scheduler.announced(leader.now, announced);
    let commands = leader.scheduler.take_commands();
    leader.scheduler.commands_not_proposed(commands.clone());
    assert_eq!(leader.scheduler.take_commands(), commands);
    assert_eq!(commands.first(), Some(&comfreymill_jobs::state::Command::Lead));
}

/// Orders to the incarnation that is known keep their token; none is given to the next one before
/// the token is raised.
#[test]
fn no_order_goes_to_the_next_incarnation_before_the_token_is_raised() {
    let mut leader = leader();
    leader.worker("w");
    leader.orders.clear();
    leader.holds_commits = true;
    restart(&mut leader, "w");
    let is_meant = |order: &Order| order.worker() != WorkerNumber::new(1);
    assert!(!leader.orders.iter().any(is_meant));
}
