use comfreymill_types::time;

/// Leader that gives orders while its lease is valid.
pub trait Leading {
    /// Reads the clock, which counts suspensions.
    fn now(&self) -> time::Monotonic;

    /// Returns whether the leader has a valid lease.
    fn is_serving(&self, now: time::Monotonic) -> bool;

    /// Decides on orders and keeps them.
    fn place(&mut self, now: time::Monotonic);

    /// Sends the orders that are kept.
    fn send_orders(&mut self);
}

/// Lets a leader decide on orders and send them; returns whether they were sent.
///
/// **Load pattern:** the process is suspended, or gets no processor for seconds, between the check
/// of its lease and its orders, and meanwhile another leader takes over. So the lease is checked
/// again, on a new reading of the clock, after the decision. Orders stay with a leader that has lost
/// its lease, until it is valid again or the leadership ends.
pub fn give_orders<L>(leader: &mut L) -> bool
where
    L: Leading,
{
    let now = leader.now();
    if !leader.is_serving(now) {
        return false;
    }
    leader.place(now);
    if !leader.is_serving(leader.now()) {
        return false;
    }
    leader.send_orders();
    true
}
