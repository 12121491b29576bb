use comfreymill_jobs::scheduler::Order;
use comfreymill_node::scheduler::orders::{Lane, OrderQueue};
use comfreymill_types::time;
use quickcheck::{Gen, QuickCheck};

use super::{pace, queued, start, stop};

/// Time at which every patience is over.
const LATER: time::Monotonic = time::Monotonic::from_millis(3_600_000);

fn filled(orders: &[Order]) -> OrderQueue {
    let mut queue = OrderQueue::new(2);
    for (order, at_ms) in orders.iter().zip(0..) {
        queue.push(queued(order.clone(), at_ms));
    }
    queue
}

fn send(queue: &mut OrderQueue) -> Option<Order> {
    if !queue.claim(Lane::Kept, LATER) {
        return None;
    }
    queue.take(Lane::Kept).map(|queued| queued.order)
}

/// Sends and answers all orders one after the other.
fn send_all(queue: &mut OrderQueue) -> Vec<Order> {
    let sent = std::iter::from_fn(|| {
        let order = send(queue)?;
        queue.ended(&order);
        Some(order)
    });
    sent.collect()
}

/// A leader that had been deposed still sent its starts, and one for a worker that was gone could reach
/// its successor.
#[test]
fn orders_that_were_not_sent_are_dropped_with_the_queue() {
    let mut queue = filled(&[start(1, 1), start(2, 1), stop(3, 1)]);
    assert_eq!(send(&mut queue), Some(stop(3, 1)));
    queue.clear();
    assert!(queue.is_empty());
    queue.ended(&stop(3, 1));
    assert_eq!(send(&mut queue), None);
}

#[test]
fn stops_go_before_all_else_and_the_rest_in_order() {
    let mut queue = filled(&[start(1, 1), pace(2, 1, 40), stop(3, 1), start(4, 1), stop(5, 1)]);
    let expected = [stop(3, 1), stop(5, 1), start(1, 1), pace(2, 1, 40), start(4, 1)];
    assert_eq!(send_all(&mut queue), expected);
}

/// A stop was queued again every 400 ms while the first still waited, and all were sent.
#[test]
fn a_stop_that_is_given_again_waits_once_and_from_the_first() {
    let mut queue = OrderQueue::new(2);
    queue.push(queued(stop(1, 1), 10));
    queue.push(queued(stop(2, 1), 20));
    assert_eq!(queue.push(queued(stop(1, 1), 410)), [queued(stop(1, 1), 10)]);
    assert!(queue.claim(Lane::Kept, LATER));
    assert_eq!(queue.take(Lane::Kept), Some(queued(stop(1, 1), 10)), "it keeps its turn and age");
    assert_eq!(send_all(&mut queue), [stop(2, 1)]);
}

#[test]
fn only_the_latest_pace_of_a_run_is_sent() {
    let mut queue = filled(&[pace(1, 1, 40), pace(2, 1, 70), pace(1, 1, 55), pace(1, 2, 90)]);
    assert_eq!(send_all(&mut queue), [pace(1, 1, 55), pace(2, 1, 70), pace(1, 2, 90)]);
}

/// A start that waited behind unanswered orders was sent after its job was cancelled.
#[test]
fn a_stop_drops_the_start_of_its_run_that_was_not_sent() {
    let mut queue = filled(&[start(1, 1), start(2, 1), start(1, 2)]);
    assert_eq!(queue.push(queued(stop(1, 1), 9)), [queued(start(1, 1), 0)], "reported once");
    assert_eq!(send_all(&mut queue), [stop(1, 1), start(2, 1), start(1, 2)], "the stop is sent");
}

/// A start whose time was over kept its task from other workers until its turn came, seconds later.
#[test]
fn a_start_that_has_expired_is_given_back_before_its_turn() {
    let mut queue = filled(&[pace(1, 1, 40), start(2, 1), stop(3, 1), start(4, 1)]);
    let at = time::Monotonic::from_millis(super::VALID_UNTIL_MS);
    assert_eq!(queue.take_expired(at), []);
    let expired = queue.take_expired(at + std::time::Duration::from_millis(1));
    assert_eq!(expired, [queued(start(2, 1), 1), queued(start(4, 1), 3)]);
    assert_eq!(send_all(&mut queue), [stop(3, 1), pace(1, 1, 40)]);
}

#[test]
fn a_stop_passes_an_unanswered_start_and_a_start_passes_nothing_of_its_task() {
    let mut queue = filled(&[start(1, 1)]);
    assert_eq!(send(&mut queue), Some(start(1, 1)));
    queue.push(queued(stop(1, 1), 1));
    queue.push(queued(start(1, 2), 2));
    assert_eq!(send(&mut queue), Some(stop(1, 1)));
    queue.push(queued(stop(1, 1), 401));
    assert_eq!(send(&mut queue), None, "the first stop may still be answered");
    queue.ended(&start(1, 1));
    assert_eq!(send(&mut queue), None, "a start waits for the stop of an earlier run");
    queue.ended(&stop(1, 1));
    assert_eq!(send(&mut queue), Some(stop(1, 1)));
    queue.ended(&stop(1, 1));
    assert_eq!(send(&mut queue), Some(start(1, 2)));
}

#[test]
fn one_order_readies_one_connection() {
    let mut queue = filled(&[start(1, 1)]);
    assert!(queue.claim(Lane::Kept, LATER));
    assert!(!queue.claim(Lane::Kept, LATER));
    queue.push(queued(start(2, 1), 1));
    assert!(queue.claim(Lane::Kept, LATER));
    queue.push(queued(stop(1, 1), 2));
    assert_eq!(queue.take(Lane::Kept).map(|queued| queued.order), Some(stop(1, 1)));
    assert_eq!(queue.take(Lane::Kept).map(|queued| queued.order), Some(start(2, 1)));
    assert!(!queue.claim(Lane::Kept, LATER), "the dropped start leaves no claim");
}

/// Runs random orders of a few tasks through a queue whose answers come in any order.
#[test]
fn every_order_leaves_once_and_no_start_follows_its_stop() {
    fn is_kept(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut queue = OrderQueue::new(2);
        let (mut pushed, mut left, mut in_flight) = (Vec::new(), Vec::new(), Vec::new());
        let mut stopped = Vec::new();
        for (at_ms, (action, index, run)) in steps.into_iter().enumerate() {
            let (index, run) = (u16::from(index % 3), u32::from(run % 3));
            let order = match action % 8 {
                0 | 1 => Some(start(index, run)),
                2 | 3 => Some(stop(index, run)),
                4 => Some(pace(index, run, 50)),
                _ => None,
            };
            if let Some(order) = order {
                // The decisions never give a start twice, nor after a stop of its run.
                let is_start = matches!(order, Order::Start { .. });
                if is_start && (pushed.contains(&order) || stopped.contains(&order.run())) {
                    continue;
                }
                if matches!(order, Order::Stop { .. }) {
                    stopped.push(order.run());
                }
                pushed.push(order.clone());
                let dropped = queue.push(queued(order, at_ms as u64));
                left.extend(dropped.into_iter().map(|dropped| dropped.order));
            } else if action % 8 == 5 && !in_flight.is_empty() {
                let order = in_flight.swap_remove(usize::from(action) % in_flight.len());
                queue.ended(&order);
            } else if let Some(order) = send(&mut queue) {
                let is_start = matches!(order, Order::Start { .. });
                if is_start && stopped.contains(&order.run()) {
                    return false;
                }
                left.push(order.clone());
                in_flight.push(order);
            }
        }
        in_flight.iter().for_each(|order| queue.ended(order));
        left.extend(send_all(&mut queue));
        let key = |order: &Order| format!("{order:?}");
        left.sort_by_key(key);
        pushed.sort_by_key(key);
        queue.is_empty() && left == pushed
    }
    let property: fn(Vec<(u8, u8, u8)>) -> bool = is_kept;
    QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(80, 12)).quickcheck(property);
}
