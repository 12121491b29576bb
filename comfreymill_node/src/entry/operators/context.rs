use crate::entry::dispatch;
use crate::entry::link;
use crate::metering;
use crate::web;

/// What every request of an operator needs.
#[derive(Clone)]
pub struct Context {
    /// Link to the leader.
    pub link: link::Link,
    /// Dispatcher of the entry.
    pub dispatcher: dispatch::Dispatcher,
    /// Token that operators are asked for.
    pub token: Option<web::Token>,
    /// Metrics of the process.
    pub meter: metering::Meter,
    /// Tells the process to stop gracefully.
    pub drain: flume::Sender<()>,
}
