use comfreymill_route::router;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::input::Input;
use super::{ClassView, DispatchOrder, DispatchStatus};
use crate::protocol;

/// Sender of messages to the dispatcher.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub(super) tx: flume::Sender<Input>,
}

/// Request that the dispatcher knows, until it is over.
#[derive(Debug)]
pub struct Ticket {
    dispatcher: Dispatcher,
    desk: protocol::DeskKey,
    request: u64,
    orders: flume::Receiver<DispatchOrder>,
    attempt: u32,
    is_over: bool,
}

impl Dispatcher {
    /// Hands in a request.
    pub fn submit(&self, desk: protocol::DeskKey, view: router::RequestView) -> Ticket {
        let (tx, orders) = flume::unbounded();
        let request = view.id;
        self.send(Input::Submit { desk: desk.clone(), view, orders: tx });
        Ticket { dispatcher: self.clone(), desk, request, orders, attempt: 0, is_over: false }
    }

    /// Class of a desk, if the document in force has it, with the team that the caller names.
    pub async fn class(
        &self,
        desk: protocol::DeskKey,
        class: id::ClassName,
        team: Option<id::TeamName>,
    ) -> Option<ClassView> {
        let (reply, rx) = flume::bounded(1);
        self.send(Input::Class { desk, class, team, reply });
        rx.recv_async().await.ok().flatten()
    }

    /// Decisions on the latest requests, or on one, while they are kept.
    pub async fn decisions(&self, request: Option<u64>) -> Vec<router::Decision> {
        let (reply, rx) = flume::bounded(1);
        self.send(Input::Decisions { request, reply });
        rx.recv_async().await.unwrap_or_default()
    }

    /// State of the dispatcher.
    pub async fn show(&self) -> Option<DispatchStatus> {
        let (reply, rx) = flume::bounded(1);
        self.send(Input::Show(reply));
        rx.recv_async().await.ok()
    }

    /// Heartbeat to send to the leader.
    pub async fn heartbeat(&self) -> Option<protocol::EntryHeartbeat> {
        let (reply, rx) = flume::bounded(1);
        self.send(Input::Heartbeat(reply));
        rx.recv_async().await.ok()
    }

    /// Tells that the leader renewed the lease, which ends at `until`.
    pub fn leased(&self, until: time::Monotonic, lease: protocol::EntryLease) {
        self.send(Input::Leased { until, lease });
    }

    /// Hands on state that the leader sent.
    pub fn push(&self, push: protocol::Push) {
        self.send(Input::Push(push));
    }

    /// Shows as not ready from now on; requests are still served.
    pub fn unready(&self) {
        self.send(Input::Unready);
    }

    /// Refuses new requests from now on.
    pub fn drain(&self) {
        self.send(Input::Drain);
    }

    /// Tells the end of a probe.
    pub fn probed(&self, desk: protocol::DeskKey, executor: id::ExecutorName, is_healthy: bool) {
        self.send(Input::Probed { desk, executor, is_healthy });
    }

    fn send(&self, input: Input) {
        // The task ends with the process; what is sent to it then does not matter.
        self.tx.send(input).ok();
    }
}

impl Ticket {
    /// Next order for the request.
    pub async fn next(&mut self) -> DispatchOrder {
        let stopped = || {
            let error = error::Error::new(error::ErrorKind::Draining, "the process is stopping");
            DispatchOrder::Refuse(error)
        };
        let order = self.orders.recv_async().await.unwrap_or_else(|_| stopped());
        match &order {
            DispatchOrder::Send { attempt, .. } => self.attempt = *attempt,
            DispatchOrder::Refuse(_) => self.is_over = true,
        }
        order
    }

    /// Tells how the attempt ended; unless it was answered, an order follows.
    pub fn finished(&mut self, outcome: router::Outcome) {
        if matches!(outcome, router::Outcome::Answered { .. } | router::Outcome::CallerGone) {
            self.is_over = true;
        }
        let (request, attempt) = (self.request, self.attempt);
        let desk = self.desk.clone();
        self.dispatcher.send(Input::Finished { desk, request, attempt, outcome });
    }

    /// Tells that an attempt of unknown end no longer runs at its executor.
    pub fn settled(&self) {
        let (request, attempt) = (self.request, self.attempt);
        self.dispatcher.send(Input::Settled { desk: self.desk.clone(), request, attempt });
    }
}

impl Drop for Ticket {
    /// A request that is dropped before its end had a caller that went away.
    fn drop(&mut self) {
        if !self.is_over {
            self.finished(router::Outcome::CallerGone);
        }
    }
}
