use comfreymill_route::router;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::input::Input;
use super::{ClassView, DispatchStatus, DispatchStep};
use crate::protocol;

/// Cloneable handle to the dispatcher's task.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    pub(super) tx: flume::Sender<Input>,
}

/// Handle of a request that was submitted to the dispatcher.
///
/// Dropping it before the request is over tells the dispatcher that the caller has gone away.
#[derive(Debug)]
pub struct RequestHandle {
    dispatcher: Dispatcher,
    stage_key: protocol::EnvironmentStage,
    request: u64,
    steps: flume::Receiver<DispatchStep>,
    attempt: u32,
    is_over: bool,
}

impl Dispatcher {
    /// Submits a request for admission.
    pub fn submit(
        &self,
        stage_key: protocol::EnvironmentStage,
        view: router::RequestView,
    ) -> RequestHandle {
        let (tx, steps) = flume::unbounded();
        let request = view.id;
        self.send(Input::Submit { stage_key: stage_key.clone(), view, steps: tx });
        RequestHandle {
            dispatcher: self.clone(),
            stage_key,
            request,
            steps,
            attempt: 0,
            is_over: false,
        }
    }

    /// Returns a class, if the document in force defines it, with the team that the caller named.
    pub async fn find_class(
        &self,
        stage_key: protocol::EnvironmentStage,
        class: id::ClassName,
        team: Option<id::TeamName>,
    ) -> Option<ClassView> {
        let (reply, rx) = flume::bounded(1);
        self.send(Input::Class { stage_key, class, team, reply });
        rx.recv_async().await.ok().flatten()
    }

    /// Returns the decisions on the latest requests, or on one, as far as they are retained.
    pub async fn decisions(&self, request: Option<u64>) -> Vec<router::Decision> {
        let (reply, rx) = flume::bounded(1);
        self.send(Input::Decisions { request, reply });
        rx.recv_async().await.unwrap_or_default()
    }

    /// Returns the status of the dispatcher, or `None` if its task has ended.
    pub async fn status(&self) -> Option<DispatchStatus> {
        let (reply, rx) = flume::bounded(1);
        self.send(Input::Status(reply));
        rx.recv_async().await.ok()
    }

    /// Returns the heartbeat to send to the leader, or `None` if the task has ended.
    pub async fn heartbeat(&self) -> Option<protocol::EntryHeartbeat> {
        let (reply, rx) = flume::bounded(1);
        self.send(Input::Heartbeat(reply));
        rx.recv_async().await.ok()
    }

    /// Reports that the leader renewed the lease, which now ends at `until`.
    pub fn renew_lease(&self, until: time::Monotonic, lease: protocol::EntryLease) {
        self.send(Input::LeaseRenewed { until, lease });
    }

    /// Applies state that the leader pushed.
    pub fn apply_push(&self, push: protocol::Push) {
        self.send(Input::Push(push));
    }

    /// Reports the process as not ready from now on; requests are still served.
    pub fn mark_not_ready(&self) {
        self.send(Input::MarkNotReady);
    }

    /// Refuses new requests from now on; requests in progress are finished.
    pub fn drain(&self) {
        self.send(Input::Drain);
    }

    /// Reports the result of a health probe.
    pub fn report_probe(
        &self,
        stage_key: protocol::EnvironmentStage,
        executor: id::ExecutorName,
        is_healthy: bool,
    ) {
        self.send(Input::Probed { stage_key, executor, is_healthy });
    }

    fn send(&self, input: Input) {
        // The task only ends with the process, so a message that cannot be delivered is dropped.
        self.tx.send(input).ok();
    }
}

impl RequestHandle {
    /// Waits for the next step of the request.
    pub async fn next_step(&mut self) -> DispatchStep {
        let stopped = || {
            let error = error::Error::new(error::ErrorKind::Draining, "the process is stopping");
            DispatchStep::Refuse(error)
        };
        let step = self.steps.recv_async().await.unwrap_or_else(|_| stopped());
        match &step {
            DispatchStep::Send { attempt, .. } => self.attempt = *attempt,
            DispatchStep::Refuse(_) => self.is_over = true,
        }
        step
    }

    /// Reports how the current attempt ended.
    ///
    /// Another step follows unless the attempt was answered or the caller has gone away.
    pub fn finish_attempt(&mut self, outcome: router::Outcome) {
        if matches!(outcome, router::Outcome::Answered { .. } | router::Outcome::CallerGone) {
            self.is_over = true;
        }
        let (request, attempt) = (self.request, self.attempt);
        let stage_key = self.stage_key.clone();
        self.dispatcher.send(Input::Finished { stage_key, request, attempt, outcome });
    }

    /// Reports that an attempt of unknown outcome no longer runs at its executor.
    pub fn resolve_attempt(&self) {
        let (request, attempt) = (self.request, self.attempt);
        self.dispatcher.send(Input::Resolved {
            stage_key: self.stage_key.clone(),
            request,
            attempt,
        });
    }
}

impl Drop for RequestHandle {
    /// Reports that the caller has gone away, if the request is not over yet.
    fn drop(&mut self) {
        if !self.is_over {
            self.finish_attempt(router::Outcome::CallerGone);
        }
    }
}
