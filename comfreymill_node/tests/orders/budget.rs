use comfreymill_node::scheduler::orders::{ConnectionBudget, Use};
use quickcheck::{Gen, QuickCheck};

const MOST: usize = 96;

/// Opens connections until one has to wait; returns their number.
fn open_all(budget: &mut ConnectionBudget, of: Use, first_ticket: u64) -> usize {
    (first_ticket..).take_while(|ticket| budget.open(*ticket, of)).count()
}

/// Orders of a small fleet held two thirds of the connections, and the polls of a fleet that had
/// grown took two thirds as well.
#[test]
fn polls_count_what_orders_hold() {
    let mut budget = ConnectionBudget::new(MOST);
    budget.expect_workers(10);
    let orders = open_all(&mut budget, Use::Orders, 0);
    assert!(orders > MOST / 2, "{orders} while few workers are polled");
    budget.expect_workers(1_000);
    open_all(&mut budget, Use::Polls, 1_000);
    assert!(budget.open_count() <= MOST, "{} are open", budget.open_count());
    assert!(budget.is_scarce(Use::Orders), "orders make room for polls");
}

/// A stop waited in turn behind starts to workers that did not answer.
#[test]
fn a_stop_gets_a_connection_though_all_others_hold_theirs() {
    let mut budget = ConnectionBudget::new(MOST);
    budget.expect_workers(1_000);
    open_all(&mut budget, Use::Polls, 0);
    open_all(&mut budget, Use::Orders, 1_000);
    assert!(!budget.open(2_000, Use::Orders));
    assert!(budget.open(3_000, Use::Stops));
    assert!(budget.open(2_000, Use::Stops), "a stop came while the connection was awaited");
}

/// Stops to workers that did not answer took the connections for the polls of the others, whose
/// leases ended.
#[test]
fn stops_leave_the_polls_their_connections() {
    let mut budget = ConnectionBudget::new(MOST);
    budget.expect_workers(50);
    open_all(&mut budget, Use::Stops, 0);
    assert_eq!(open_all(&mut budget, Use::Polls, 1_000), 50);
}

/// A stop that waited behind one which another lane had sent meanwhile slept until the next close.
#[test]
fn a_ticket_that_needs_no_stop_any_more_gives_way() {
    let mut budget = ConnectionBudget::new(MOST);
    budget.expect_workers(1_000);
    open_all(&mut budget, Use::Orders, 1_000);
    let all = open_all(&mut budget, Use::Stops, 0) as u64;
    assert!(!budget.open(all + 1, Use::Stops), "two wait now");
    budget.close(Use::Stops);
    assert_eq!(budget.next_waiting().collect::<Vec<_>>(), [all]);
    assert!(!budget.change_use(all, Use::Stops));
    assert!(budget.change_use(all, Use::Orders));
    assert!(!budget.open(all, Use::Orders));
    assert_eq!(budget.next_waiting().collect::<Vec<_>>(), [all + 1]);
}

/// Closes a connection and lets those who wait open theirs; returns whether each may.
fn close(
    budget: &mut ConnectionBudget,
    of: Use,
    open: &mut Vec<Use>,
    waiting: &mut Vec<(u64, Use)>,
) -> bool {
    budget.close(of);
    while let Some(ticket) = { budget.next_waiting().next() } {
        let position = waiting.iter().position(|(waiting, _)| *waiting == ticket);
        let Some((_, of)) = position.map(|position| waiting.swap_remove(position)) else {
            return false;
        };
        if !budget.open(ticket, of) {
            return false;
        }
        open.push(of);
    }
    true
}

/// Connections are opened and closed in any order; all that wait are served in the end.
#[test]
fn the_sum_is_kept_and_nobody_waits_for_ever() {
    fn is_kept(most: u8, workers: u8, steps: Vec<(u8, bool)>) -> bool {
        const USES: [Use; 3] = [Use::Polls, Use::Orders, Use::Stops];
        let mut budget = ConnectionBudget::new(usize::from(most));
        budget.expect_workers(usize::from(workers));
        let (mut open, mut waiting) = (Vec::new(), Vec::new());
        for (ticket, (number, closes)) in (0_u64..).zip(steps) {
            let number = usize::from(number);
            if closes && !open.is_empty() {
                let of = open.swap_remove(number % open.len());
                if !close(&mut budget, of, &mut open, &mut waiting) {
                    return false;
                }
            } else if budget.open(ticket, USES[number % 3]) {
                open.push(USES[number % 3]);
            } else {
                waiting.push((ticket, USES[number % 3]));
            }
            if budget.open_count() != open.len() || open.len() > usize::from(most).max(3) {
                return false;
            }
        }
        while let Some(of) = open.pop() {
            if !close(&mut budget, of, &mut open, &mut waiting) {
                return false;
            }
        }
        waiting.is_empty()
    }
    let property: fn(u8, u8, Vec<(u8, bool)>) -> bool = is_kept;
    QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(120, 13)).quickcheck(property);
}
