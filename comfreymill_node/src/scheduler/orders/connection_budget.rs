use std::collections::VecDeque;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// Polls, without which a worker's lease expires.
    Polls,
    /// Starts and paces, and stops while there is room.
    Orders,
    /// Stops, whatever the other uses hold.
    Stops,
}

impl Use {
    const ALL: [Self; 3] = [Self::Stops, Self::Polls, Self::Orders];
}

/// Number of open connections to workers, its bound, and who gets the next one.
///
/// **Load pattern:** there are more workers than the process may have connections, and many of them
/// do not answer. Polls have up to two thirds of the connections; orders have the others, but for a
/// share that only stops use.
#[derive(Debug)]
pub struct ConnectionBudget {
    most: usize,
    polls: usize,
    orders: usize,
    stops: usize,
    /// Connections that are kept free for polls.
    polls_due: usize,
    /// Tickets that wait for a connection, longest wait first.
    waiting: VecDeque<(u64, Use)>,
}

impl ConnectionBudget {
    /// Creates the budget with a bound of `most` connections; each use has at least one.
    pub fn new(most: usize) -> Self {
        let most = most.max(Use::ALL.len());
        Self { most, polls: 0, orders: 0, stops: 0, polls_due: 0, waiting: VecDeque::new() }
    }

    /// Sets the number of workers, each of which is polled over a connection of its own.
    pub fn expect_workers(&mut self, workers: usize) {
        self.polls_due = workers.min(self.most_polls());
    }

    /// Returns how many connections for orders each of `workers` workers may have, beside the one
    /// for polls: a second one lets orders to distant workers overlap.
    pub fn orders_per_worker(&self, workers: usize) -> usize {
        if workers.saturating_mul(3) <= self.most - self.kept_for_stops() { 2 } else { 1 }
    }

    /// Counts a connection for the holder of `ticket`, or lets it wait in turn; returns whether it
    /// may be opened. A holder that waits asks again when it is woken or its use has changed.
    pub fn open(&mut self, ticket: u64, of: Use) -> bool {
        let position = self.waiting.iter().position(|(waiting, _)| *waiting == ticket);
        let mut before = self.waiting.iter().take(position.unwrap_or(self.waiting.len()));
        let is_next = before.all(|(_, earlier)| *earlier != of) && self.has_room(of);
        match (is_next, position) {
            (true, Some(position)) => drop(self.waiting.remove(position)),
            (true, None) => {}
            (false, Some(position)) => self.waiting[position].1 = of,
            (false, None) => self.waiting.push_back((ticket, of)),
        }
        *self.count_mut(of) += usize::from(is_next);
        is_next
    }

    /// Records what a ticket that waits is to be used for now; returns whether that has changed, so
    /// that another ticket may have its turn.
    pub fn change_use(&mut self, ticket: u64, of: Use) -> bool {
        let waiting = self.waiting.iter_mut().find(|(waiting, _)| *waiting == ticket);
        waiting.is_some_and(|(_, earlier)| std::mem::replace(earlier, of) != of)
    }

    /// Records that a connection is closed.
    pub fn close(&mut self, of: Use) {
        let open = self.count_mut(of);
        *open = open.saturating_sub(1);
    }

    /// Returns the waiting tickets that may open a connection now, most urgent first.
    pub fn next_waiting(&self) -> impl Iterator<Item = u64> {
        let uses = Use::ALL.into_iter().filter(|of| self.has_room(*of));
        uses.filter_map(|of| self.waiting.iter().find(|(_, use_of)| *use_of == of))
            .map(|(ticket, _)| *ticket)
    }

    /// Returns whether connections should be closed after use, so that others can be opened.
    pub fn is_scarce(&self, of: Use) -> bool {
        let is_waited_for = |uses: &[Use]| self.waiting.iter().any(|(_, of)| uses.contains(of));
        match of {
            Use::Polls => is_near(self.polls, self.most_polls()) || is_waited_for(&[Use::Polls]),
            Use::Orders => {
                is_near(self.shared_orders(), self.most_orders()) || is_waited_for(&Use::ALL)
            }
            Use::Stops => is_near(self.stops, self.kept_for_stops()) || is_waited_for(&Use::ALL),
        }
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.polls + self.orders + self.stops
    }

    fn has_room(&self, of: Use) -> bool {
        let orders = self.shared_orders();
        let is_shared_free = self.polls + orders < self.most - self.kept_for_stops();
        match of {
            Use::Polls => is_shared_free && self.polls < self.most_polls(),
            Use::Orders => is_shared_free && orders < self.most_orders(),
            // Polls of the workers that answer must not wait for stops to those that don't.
            Use::Stops => {
                self.stops < self.kept_for_stops()
                    || (is_shared_free && orders < self.most_orders())
            }
        }
    }

    /// Returns the number of connections for orders, and for stops beyond their share.
    fn shared_orders(&self) -> usize {
        self.orders + self.stops.saturating_sub(self.kept_for_stops())
    }

    fn count_mut(&mut self, of: Use) -> &mut usize {
        match of {
            Use::Polls => &mut self.polls,
            Use::Orders => &mut self.orders,
            Use::Stops => &mut self.stops,
        }
    }

    fn most_polls(&self) -> usize {
        (self.most * 2 / 3).min(self.most - self.kept_for_stops() - 1)
    }

    fn most_orders(&self) -> usize {
        self.most - self.kept_for_stops() - self.polls_due
    }

    fn kept_for_stops(&self) -> usize {
        (self.most / 16).max(1)
    }
}

/// Returns whether less than an eighth of `most` is left.
fn is_near(open: usize, most: usize) -> bool {
    open > most - (most / 8).max(1)
}
