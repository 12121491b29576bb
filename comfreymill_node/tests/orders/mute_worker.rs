use std::collections::BTreeMap;

use comfreymill_jobs::id;
use comfreymill_jobs::scheduler::Order;
use comfreymill_node::scheduler::orders::{Lane, OrderQueue};
use comfreymill_types::time;

use super::{pace, queued, start, stop};

/// Time after which an order without an answer is given up, in milliseconds.
const ANSWER_MS: u64 = 900;
/// Time after which the decisions give a stop again, in milliseconds.
const RETRY_MS: u64 = 400;
const STEP_MS: u64 = 10;

/// A worker that answers no order, in virtual time.
struct MuteWorker {
    queue: OrderQueue,
    now_ms: u64,
    /// Lanes with the order that each sent, and when that is given up.
    lanes: Vec<(Lane, Option<(u64, Order)>)>,
    /// Time of the first stop of each run.
    stopped: BTreeMap<(id::TaskId, id::Run), u64>,
    most_lanes: usize,
}

impl MuteWorker {
    fn new(kept_lanes: usize) -> Self {
        let lanes = (0..kept_lanes).map(|_| (Lane::Kept, None)).collect();
        let queue = OrderQueue::new(kept_lanes);
        Self { queue, now_ms: 0, lanes, stopped: BTreeMap::new(), most_lanes: 0 }
    }

    fn push(&mut self, order: Order) {
        self.queue.push(queued(order, self.now_ms));
        if self.queue.add_extra_lane() {
            self.lanes.push((Lane::Extra, None));
        }
        self.most_lanes = self.most_lanes.max(self.lanes.len());
    }

    fn step(&mut self) {
        let now = time::Monotonic::from_millis(self.now_ms);
        for (lane, sent) in &mut self.lanes {
            if let Some((_, order)) = sent.take_if(|(until, _)| self.now_ms >= *until) {
                self.queue.ended(&order);
            }
            if sent.is_none()
                && self.queue.claim(*lane, now)
                && let Some(taken) = self.queue.take(*lane)
            {
                if let (Order::Stop { .. }, Some(run)) = (&taken.order, taken.order.run()) {
                    self.stopped.entry(run).or_insert(self.now_ms);
                }
                *sent = Some((self.now_ms + ANSWER_MS, taken.order));
            }
        }
        let before = self.lanes.len();
        let is_left = self.queue.extra_due_at().is_some();
        self.lanes.retain(|(lane, sent)| *lane == Lane::Kept || sent.is_some() || is_left);
        (self.lanes.len()..before).for_each(|_| self.queue.remove_extra_lane());
        self.now_ms += STEP_MS;
    }

    /// Stops `stops` runs, each again until it is sent; returns when the last was sent.
    fn stop_all(&mut self, stops: u16) -> u64 {
        let began_ms = self.now_ms;
        while self.stopped.len() < usize::from(stops) {
            if (self.now_ms - began_ms).is_multiple_of(RETRY_MS) {
                for index in 0..stops {
                    self.push(stop(index, 1));
                }
            }
            self.step();
            assert!(self.now_ms - began_ms < 60_000, "a stop is never sent");
        }
        self.stopped.values().max().expect("a stop was sent") - began_ms
    }
}

/// A stop waited 4.5 s behind five orders that were not answered, and a run went on for seconds
/// after its job was cancelled.
#[test]
fn a_stop_does_not_wait_for_orders_without_answers() {
    for kept_lanes in [1, 2] {
        let mut worker = MuteWorker::new(kept_lanes);
        for index in 100..120 {
            worker.push(start(index, 1));
            worker.push(pace(index + 100, 1, 50));
            worker.step();
        }
        let waited_ms = worker.stop_all(1);
        assert!(waited_ms <= ANSWER_MS, "{waited_ms} ms with {kept_lanes} connections");
    }
}

/// Stops that are not answered kept back the stops of other runs, and were given again meanwhile.
#[test]
fn stops_without_answers_do_not_add_up() {
    for kept_lanes in [1, 2] {
        let mut worker = MuteWorker::new(kept_lanes);
        let waited_ms = worker.stop_all(10);
        assert!(waited_ms <= 2 * ANSWER_MS, "{waited_ms} ms with {kept_lanes} connections");
        assert!(worker.most_lanes <= kept_lanes + 4, "{} connections", worker.most_lanes);
    }
}

#[test]
fn no_connection_is_opened_for_a_stop_that_a_usual_answer_lets_through() {
    let mut queue = OrderQueue::new(1);
    queue.push(queued(start(1, 1), 0));
    assert!(queue.claim(Lane::Kept, time::Monotonic::ZERO));
    let sent = queue.take(Lane::Kept).expect("the start");
    queue.push(queued(stop(2, 1), 0));
    assert!(queue.add_extra_lane(), "one waits for its turn");
    assert!(!queue.claim(Lane::Extra, time::Monotonic::from_millis(60)));
    queue.ended(&sent.order);
    assert!(queue.claim(Lane::Kept, time::Monotonic::from_millis(70)));
    assert_eq!(queue.take(Lane::Kept), Some(queued(stop(2, 1), 0)));
    assert_eq!(queue.extra_due_at(), None, "the extra lane ends");
}
