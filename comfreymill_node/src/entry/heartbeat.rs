//! Heartbeats of the entry to the leader, which renew the entry's lease.

use std::time::Duration;

use super::dispatch;
use super::link;
use crate::clock;
use crate::protocol;

/// Minimum pause between heartbeats, also when one is due ahead of its period.
const MIN_PERIOD: Duration = Duration::from_millis(20);

/// Sends heartbeats every `period`, or earlier when one is due, until the dispatcher ends.
pub(super) async fn run(
    clock: clock::Clock,
    dispatcher: dispatch::Dispatcher,
    link: link::Link,
    due: flume::Receiver<()>,
    period: Duration,
) {
    while let Some(heartbeat) = dispatcher.heartbeat().await {
        let sent_at = clock.now();
        let call = protocol::Call::Heartbeat(heartbeat);
        if let Ok(protocol::Answer::Lease(lease)) = link.call(call, 4 * period).await {
            // Counted from the time of sending, so that the lease expires here before it expires
            // at the leader.
            dispatcher.renew_lease(sent_at + lease.lease.into(), lease);
        }
        monoio::time::sleep(MIN_PERIOD).await;
        monoio::time::timeout(period.saturating_sub(MIN_PERIOD), due.recv_async()).await.ok();
    }
}
