use std::rc::Rc;
use std::time::Duration;

use comfreymill_jobs::scheduler;
use comfreymill_platform as platform;

use super::connection_budget::Use;
use super::connections::Connections;
use super::lane::Lane;
use super::link::Link;
use super::outcome::Outcome;
use super::shared_queue::SharedQueue;
use super::target::Target;

/// Time without orders after which a connection is closed; each occupies a descriptor, and workers
/// that are polled rarely are polled every few seconds.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time without orders after which a connection is closed that others may wait for.
const SCARCE_IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Sends the orders of a queue one at a time over a dedicated connection.
pub(super) struct Delivery {
    pub(super) target: Rc<Target>,
    pub(super) orders: SharedQueue,
    pub(super) connections: Connections,
    pub(super) of: Use,
    /// Number of the kept lane that this is; an extra lane has none.
    pub(super) kept: Option<usize>,
}

impl Delivery {
    /// Sends orders until the queue is closed or, in an extra lane, until no stop waits.
    pub(super) async fn run(self) {
        let lane = if self.kept.is_some() { Lane::Kept } else { Lane::Extra };
        let mut link = None;
        loop {
            // Starts expire while the lanes wait for answers.
            for expired in self.orders.take_expired() {
                let now = self.target.clock.now();
                self.target.report_waits(&expired, now, now);
                self.target.report(&expired, now, Outcome::Expired);
            }
            // The queue may be empty now, and others may wait for the connection.
            self.close_if_unneeded(&mut link);
            if !self.claim(&mut link).await {
                break;
            }
            let claimed_at = self.target.clock.now();
            let connected = self.connect(&mut link).await;
            // Which order goes is decided with the connection at hand, since a stop may have come.
            let Some(queued) = self.orders.take(lane) else {
                self.close_if_unneeded(&mut link);
                continue;
            };
            let sent_at = self.target.clock.now();
            self.target.report_waits(&queued, claimed_at, sent_at);
            let outcome = match connected {
                Ok(()) => self.send(&mut link, &queued.order).await,
                Err(outcome) => outcome,
            };
            self.orders.ended(&queued.order);
            self.close_if_unneeded(&mut link);
            if !self.target.report(&queued, sent_at, outcome) {
                break;
            }
        }
        if self.kept.is_none() {
            self.orders.remove_extra_lane();
        }
    }

    /// Waits until an order is to be sent; closes the connection after `IDLE_LIMIT` without one, or
    /// sooner while connections are scarce.
    async fn claim(&self, link: &mut Option<Link>) -> bool {
        let Some(number) = self.kept else { return self.orders.claim_extra().await };
        let mut idle = Duration::ZERO;
        while link.is_some() {
            let claim = self.orders.claim(number);
            match monoio::time::timeout(SCARCE_IDLE_LIMIT, claim).await {
                Ok(is_claimed) => return is_claimed,
                Err(_) => idle += SCARCE_IDLE_LIMIT,
            }
            if idle >= IDLE_LIMIT || self.connections.is_scarce(self.of) {
                *link = None;
            }
        }
        self.orders.claim(number).await
    }

    /// Closes a link that is not connected, or whose place others may wait for.
    fn close_if_unneeded(&self, link: &mut Option<Link>) {
        let is_connected = link.as_ref().is_some_and(Link::is_connected);
        if !is_connected || (self.connections.is_scarce(self.of) && self.orders.is_empty()) {
            *link = None;
        }
    }

    async fn connect(&self, link: &mut Option<Link>) -> Result<(), Outcome> {
        if link.is_none() {
            let permit = self.connections.open(|cx| match self.kept {
                Some(number) => self.orders.urgency(number, cx),
                None => Use::Stops,
            });
            *link = Some(Link::new(permit.await));
        }
        let Some(link) = link else { return Err(Outcome::NotSent) };
        link.connect(self.target.address).await
    }

    async fn send(&self, link: &mut Option<Link>, order: &scheduler::Order) -> Outcome {
        let (request, wait) = to_request(&self.target, order);
        // The worker may close the connection at any time, which is detected before anything is
        // sent; another connection takes time, in which a start may expire.
        for _ in 0..2 {
            if order.has_expired(self.target.clock.now()) {
                return Outcome::Expired;
            }
            let Some(link) = link else { return Outcome::NotSent };
            if let Some(outcome) = link.exchange(&request, wait).await {
                return outcome;
            }
            if let Err(outcome) = link.connect(self.target.address).await {
                return outcome;
            }
        }
        Outcome::NotSent
    }
}

fn to_request(target: &Target, order: &scheduler::Order) -> (platform::Outbound, Duration) {
    let (name, fence) = (&target.name, target.fence);
    match order {
        scheduler::Order::Start { task, run, spec, lease_until_ms, checkpoint, .. } => {
            let run = (*task, *run);
            let call =
                platform::start(name, fence, run, &spec.payload, *lease_until_ms, checkpoint);
            (call, Duration::ZERO)
        }
        scheduler::Order::Stop { task, run, .. } => {
            (platform::stop(name, fence, *task, *run), Duration::ZERO)
        }
        scheduler::Order::Poll { noted, lease_until_ms, wait, .. } => {
            (platform::poll(name, fence, *noted, *lease_until_ms, *wait), *wait)
        }
        scheduler::Order::Pace { task, run, percent, .. } => {
            (platform::pace(name, fence, (*task, *run), *percent), Duration::ZERO)
        }
    }
}
