use std::{future::Future, io, pin, rc, time};

use futures_util::future;
use monoio::time as timer;

use super::{Connection, Refusal, Request, ServerError, Shutdown, budget, watch};
use crate::limits;

/// Delay after a failed `accept`.
const ACCEPT_BACKOFF: time::Duration = time::Duration::from_millis(50);

/// Connections and requests that a graceful shutdown aborted at the end of its grace period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// Number of aborted connections.
    pub connections: usize,
    /// Number of aborted requests in progress.
    pub requests: usize,
}

/// State shared by the connections of a listener.
struct ListenerState<H> {
    limits: rc::Rc<limits::Limits>,
    handler: H,
    shutdown: Shutdown,
    budget: budget::Budget,
    connections: watch::Watch<usize>,
    requests: watch::Watch<usize>,
    refusals: watch::Watch<usize>,
}

/// Accepts connections and passes their requests to the handler, until the shutdown has begun and
/// the connections have ended or the grace period is over.
///
/// Connections over the limit are refused with [`Refusal::ConnectionLimit`] and requests over the
/// limit with [`Refusal::RequestLimit`]. Errors of the handler are logged. [`Connection::next`]
/// describes the response to a request that the handler did not answer.
pub async fn serve<H>(
    listener: monoio::net::TcpListener,
    limits: limits::Limits,
    handler: H,
    shutdown: Shutdown,
) -> DrainReport
where
    H: AsyncFn(Request<'_>) -> Result<(), ServerError> + 'static,
{
    let state = rc::Rc::new(ListenerState {
        budget: budget::Budget::new(limits.get_max_collected_bytes()),
        limits: rc::Rc::new(limits),
        handler,
        shutdown,
        connections: watch::Watch::new(0),
        requests: watch::Watch::new(0),
        refusals: watch::Watch::new(0),
    });
    let grace = accept_all(&listener, &state).await;
    drop(listener);
    drain(&state, grace).await
}

/// Accepts connections until the shutdown begins; returns its grace period.
async fn accept_all<H>(
    listener: &monoio::net::TcpListener,
    state: &rc::Rc<ListenerState<H>>,
) -> time::Duration
where
    H: AsyncFn(Request<'_>) -> Result<(), ServerError> + 'static,
{
    let mut stop = pin::pin!(state.shutdown.begun());
    loop {
        let accepted = pin::pin!(listener.accept());
        match future::select(accepted, stop.as_mut()).await {
            future::Either::Left((Ok((stream, _)), _)) => admit(stream, state),
            future::Either::Left((Err(err), _)) => back_off(&err).await,
            future::Either::Right((grace, _)) => return grace,
        }
    }
}

/// Waits after a failed `accept`, so that a lasting failure such as a lack of file descriptors does
/// not cause a busy loop.
async fn back_off(err: &io::Error) {
    log::warn!(target: "http", "accept failed: {err}");
    timer::sleep(ACCEPT_BACKOFF).await;
}

/// Starts a task for the connection, or one that refuses it when the connection limit is reached.
fn admit<H>(stream: monoio::net::TcpStream, state: &rc::Rc<ListenerState<H>>)
where
    H: AsyncFn(Request<'_>) -> Result<(), ServerError> + 'static,
{
    let conn = Connection::for_listener(
        stream,
        rc::Rc::clone(&state.limits),
        state.shutdown.clone(),
        state.budget.clone(),
    );
    if state.connections.get() < state.limits.get_max_connections() {
        let count = CountGuard::new(&state.connections);
        spawn(state, count, serve_connection(conn, rc::Rc::clone(state)));
    } else if state.refusals.get() < state.limits.get_max_refusals() {
        let count = CountGuard::new(&state.refusals);
        spawn(state, count, refuse(conn));
    }
}

/// Runs the task of a connection until it ends or the shutdown aborts it.
fn spawn<H, F>(state: &rc::Rc<ListenerState<H>>, count: CountGuard, task: F)
where
    H: 'static,
    F: Future<Output = ()> + 'static,
{
    let shutdown = state.shutdown.clone();
    // Boxed, because a future that is moved into another one and pinned there occupies memory
    // twice.
    let task = Box::pin(task);
    monoio::spawn(async move {
        let _count = count;
        future::select(task, pin::pin!(shutdown.aborted())).await;
    });
}

async fn refuse(mut conn: Connection) {
    let _: Result<(), ServerError> = conn.refuse(Refusal::ConnectionLimit).await;
}

async fn serve_connection<H>(mut conn: Connection, state: rc::Rc<ListenerState<H>>)
where
    H: AsyncFn(Request<'_>) -> Result<(), ServerError>,
{
    loop {
        match conn.next().await {
            Ok(Some(req)) => handle(req, &state).await,
            Ok(None) => return,
            Err(err) => {
                log::debug!(target: "http", "connection ended: {err}");
                return;
            }
        }
    }
}

async fn handle<H>(req: Request<'_>, state: &ListenerState<H>)
where
    H: AsyncFn(Request<'_>) -> Result<(), ServerError>,
{
    let res = if state.requests.get() < state.limits.get_max_requests_in_progress() {
        let _count = CountGuard::new(&state.requests);
        (state.handler)(req).await
    } else {
        req.refuse(Refusal::RequestLimit).await
    };
    if let Err(err) = res {
        log::debug!(target: "http", "request failed: {err}");
    }
}

/// Waits for the connections to end, for at most `grace`, and aborts the rest.
async fn drain<H>(state: &ListenerState<H>, grace: time::Duration) -> DrainReport {
    let idle = state.connections.until(|count| count == 0);
    let _ = timer::timeout(grace, idle).await;
    let drained =
        DrainReport { connections: state.connections.get(), requests: state.requests.get() };
    state.shutdown.abort();
    drained
}

/// Guard that increments a count and decrements it when dropped.
struct CountGuard {
    watch: watch::Watch<usize>,
}

impl CountGuard {
    fn new(watch: &watch::Watch<usize>) -> Self {
        watch.set(watch.get() + 1);
        Self { watch: watch.clone() }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.watch.set(self.watch.get() - 1);
    }
}
