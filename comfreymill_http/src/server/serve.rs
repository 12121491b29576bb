use std::{future::Future, io, pin, rc, time};

use futures_util::future;
use monoio::time as timer;

use super::{Connection, Refusal, Request, ServerError, Shutdown, budget, watch};
use crate::limits;

const ACCEPT_BACKOFF: time::Duration = time::Duration::from_millis(50);
const MAX_LINGERING_REFUSALS: usize = 64;

/// What a graceful stop left unfinished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drained {
    /// Connections that were cut.
    pub connections: usize,
    /// Requests in progress that were cut.
    pub requests: usize,
}

struct Listening<H> {
    limits: rc::Rc<limits::Limits>,
    handler: H,
    shutdown: Shutdown,
    budget: budget::Budget,
    connections: watch::Watch<usize>,
    requests: watch::Watch<usize>,
    refusals: watch::Watch<usize>,
}

/// Accepts connections and hands their requests to the handler, until the shutdown is begun and
/// the requests in progress are finished or the time for them has passed.
///
/// Beyond the limits, connections are answered with [`Refusal::ConnectionLimit`] and requests with
/// [`Refusal::RequestLimit`]. A handler's error is logged; a request that it left unanswered is
/// answered as [`Connection::next`] says.
pub async fn serve<H>(
    listener: monoio::net::TcpListener,
    limits: limits::Limits,
    handler: H,
    shutdown: Shutdown,
) -> Drained
where
    H: AsyncFn(Request<'_>) -> Result<(), ServerError> + 'static,
{
    let listening = rc::Rc::new(Listening {
        budget: budget::Budget::new(limits.get_max_collected_bytes()),
        limits: rc::Rc::new(limits),
        handler,
        shutdown,
        connections: watch::Watch::new(0),
        requests: watch::Watch::new(0),
        refusals: watch::Watch::new(0),
    });
    let grace = accept_all(&listener, &listening).await;
    drop(listener);
    drain(&listening, grace).await
}

/// Accepts until the stop begins; returns the time for the requests in progress.
async fn accept_all<H>(
    listener: &monoio::net::TcpListener,
    listening: &rc::Rc<Listening<H>>,
) -> time::Duration
where
    H: AsyncFn(Request<'_>) -> Result<(), ServerError> + 'static,
{
    let mut stop = pin::pin!(listening.shutdown.begun());
    loop {
        let accepted = pin::pin!(listener.accept());
        match future::select(accepted, stop.as_mut()).await {
            future::Either::Left((Ok((stream, _)), _)) => admit(stream, listening),
            future::Either::Left((Err(err), _)) => back_off(&err).await,
            future::Either::Right((grace, _)) => return grace,
        }
    }
}

/// Lets a failure such as a lack of descriptors pass without spinning on it.
async fn back_off(err: &io::Error) {
    log::warn!(target: "http", "accept failed: {err}");
    timer::sleep(ACCEPT_BACKOFF).await;
}

fn admit<H>(stream: monoio::net::TcpStream, listening: &rc::Rc<Listening<H>>)
where
    H: AsyncFn(Request<'_>) -> Result<(), ServerError> + 'static,
{
    let conn = Connection::of_listener(
        stream,
        rc::Rc::clone(&listening.limits),
        listening.shutdown.clone(),
        listening.budget.clone(),
    );
    if listening.connections.get() < listening.limits.get_max_connections() {
        let count = Count::new(&listening.connections);
        spawn(listening, count, run(conn, rc::Rc::clone(listening)));
    } else if listening.refusals.get() < MAX_LINGERING_REFUSALS {
        let count = Count::new(&listening.refusals);
        spawn(listening, count, refuse(conn));
    }
}

/// Runs a connection's task until it ends or is cut.
fn spawn<H, F>(listening: &rc::Rc<Listening<H>>, count: Count, task: F)
where
    H: 'static,
    F: Future<Output = ()> + 'static,
{
    let shutdown = listening.shutdown.clone();
    // Boxed, since a task that is moved into the pin of another one takes its room twice.
    let task = Box::pin(task);
    monoio::spawn(async move {
        let _count = count;
        future::select(task, pin::pin!(shutdown.is_cut())).await;
    });
}

async fn refuse(mut conn: Connection) {
    let _: Result<(), ServerError> = conn.refuse(Refusal::ConnectionLimit).await;
}

async fn run<H>(mut conn: Connection, listening: rc::Rc<Listening<H>>)
where
    H: AsyncFn(Request<'_>) -> Result<(), ServerError>,
{
    loop {
        match conn.next().await {
            Ok(Some(req)) => handle(req, &listening).await,
            Ok(None) => return,
            Err(err) => {
                log::debug!(target: "http", "connection ended: {err}");
                return;
            }
        }
    }
}

async fn handle<H>(req: Request<'_>, listening: &Listening<H>)
where
    H: AsyncFn(Request<'_>) -> Result<(), ServerError>,
{
    let res = if listening.requests.get() < listening.limits.get_max_requests_in_progress() {
        let _count = Count::new(&listening.requests);
        (listening.handler)(req).await
    } else {
        req.refuse(Refusal::RequestLimit).await
    };
    if let Err(err) = res {
        log::debug!(target: "http", "request failed: {err}");
    }
}

async fn drain<H>(listening: &Listening<H>, grace: time::Duration) -> Drained {
    let idle = listening.connections.until(|count| count == 0);
    let _ = timer::timeout(grace, idle).await;
    let drained =
        Drained { connections: listening.connections.get(), requests: listening.requests.get() };
    listening.shutdown.cut();
    drained
}

/// One unit of a count, given back when it is dropped.
struct Count {
    watch: watch::Watch<usize>,
}

impl Count {
    fn new(watch: &watch::Watch<usize>) -> Self {
        watch.set(watch.get() + 1);
        Self { watch: watch.clone() }
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.watch.set(self.watch.get() - 1);
    }
}
