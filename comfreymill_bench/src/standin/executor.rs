use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use comfreymill_http::limits;
use comfreymill_http::server;
use comfreymill_node::protocol;

use super::announcer::Announcer;
use super::run::Running;
use super::{Behaviour, ExecutorConfig, Journal, RecordKind};

const PATH: &str = "/v1/executors";
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Stand-in executor, which stops without notice when it is dropped.
#[derive(Debug)]
pub struct Executor {
    address: SocketAddr,
    shared: Arc<Shared>,
    _running: Running,
}

#[derive(Debug)]
struct Shared {
    journal: Journal,
    behaviour: Mutex<Behaviour>,
    is_leaving: AtomicBool,
    max_concurrency: AtomicU32,
}

impl Executor {
    /// Starts an executor on a free loopback port.
    pub fn start(cfg: ExecutorConfig, journal: Journal) -> Self {
        let shared = Arc::new(Shared {
            journal,
            behaviour: Mutex::new(cfg.behaviour),
            is_leaving: AtomicBool::new(false),
            max_concurrency: AtomicU32::new(0),
        });
        let (tx, rx) = flume::bounded(1);
        let thread_shared = Arc::clone(&shared);
        let name = cfg.announcement.name.to_string();
        let running = Running::start(&name, move || run(cfg, thread_shared, tx));
        let address = rx.recv().expect("the executor sends its address");
        Self { address, shared, _running: running }
    }

    /// Returns the address that accepts requests.
    pub fn get_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the highest number of requests that ran at the same time.
    pub fn get_max_concurrency(&self) -> u32 {
        self.shared.max_concurrency.load(Ordering::Relaxed)
    }

    /// Sets how the executor answers requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Announces from now on that the executor is leaving.
    pub fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::Relaxed);
    }
}

async fn run(mut cfg: ExecutorConfig, shared: Arc<Shared>, address: flume::Sender<SocketAddr>) {
    let listener =
        monoio::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
    cfg.announcement.address = listener.local_addr().expect("the listener has an address");
    address.send(cfg.announcement.address).ok();
    let running = Rc::new(Cell::new(0));
    let name = cfg.announcement.name.to_string();
    let state = Arc::clone(&shared);
    let handler = async move |req: server::Request<'_>| answer(&name, &state, &running, req).await;
    let limits = limits::Limits::new().max_body_bytes(MAX_BODY_BYTES);
    monoio::spawn(server::serve(listener, limits, handler, server::Shutdown::new()));
    let mut announcer = Announcer::new(cfg.entries.clone(), PATH);
    loop {
        if shared.is_leaving.load(Ordering::Relaxed) {
            cfg.announcement.state = protocol::UpstreamState::Leaving;
        }
        announcer.report(&cfg.announcement).await;
        monoio::time::sleep(cfg.period).await;
    }
}

async fn answer(
    name: &str,
    shared: &Shared,
    running: &Cell<u32>,
    mut req: server::Request<'_>,
) -> Result<(), server::ServerError> {
    if req.uri().path() == "/healthz" {
        return req.respond(http::StatusCode::OK, &http::HeaderMap::new(), Bytes::new()).await;
    }
    let subject = req.uri().to_string();
    let Ok(body) = req.collect(MAX_BODY_BYTES).await else { return Ok(()) };
    let behaviour = *shared.behaviour.lock().unwrap_or_else(PoisonError::into_inner);
    let mut headers = http::HeaderMap::new();
    if behaviour == Behaviour::NotRun {
        shared.journal.note(name, &subject, RecordKind::NotRun);
        let not_run = http::HeaderValue::from_static("not-run");
        headers.insert(comfreymill_node::web::RUN_HEADER, not_run);
        return req.respond(http::StatusCode::SERVICE_UNAVAILABLE, &headers, body).await;
    }
    running.set(running.get() + 1);
    shared.max_concurrency.fetch_max(running.get(), Ordering::Relaxed);
    shared.journal.note(name, &subject, RecordKind::Began);
    if let Behaviour::Echo(delay) = behaviour {
        monoio::time::sleep(delay).await;
    }
    running.set(running.get() - 1);
    shared.journal.note(name, &subject, RecordKind::Finished);
    match behaviour {
        Behaviour::Fail => {
            req.respond(http::StatusCode::INTERNAL_SERVER_ERROR, &headers, body).await
        }
        Behaviour::CutShort => {
            // Dropping an unfinished response closes its connection.
            let length = body.len() as u64 + 1;
            req.start_response(http::StatusCode::OK, &headers, Some(length)).await.map(|_| ())
        }
        _ => req.respond(http::StatusCode::OK, &headers, body).await,
    }
}
