use crate::entry::dispatch;
use crate::entry::link;
use crate::metering;
use crate::web;

/// Shared state for handling the operators' requests.
#[derive(Clone)]
pub struct Context {
    /// Link to the leader.
    pub link: link::Link,
    /// Dispatcher of the entry.
    pub dispatcher: dispatch::Dispatcher,
    /// Token that operators must present; `None` disables the check.
    pub token: Option<web::Token>,
    /// Metrics of the process.
    pub meter: metering::Meter,
    /// Asks the process to stop gracefully.
    pub drain: flume::Sender<()>,
}
