use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::{fs, thread};

use bytes::Bytes;
use comfreymill_http::limits;
use comfreymill_http::server;
use comfreymill_node::clock;
use comfreymill_node::entry::{dispatch, link, pool, prompt};
use comfreymill_node::peer;
use comfreymill_node::protocol;
use comfreymill_node::runtime;
use comfreymill_route::router;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;

use super::fake_entry::name;

const MAX_BODY_BYTES: u64 = 8 << 20;
const SLOTS: u32 = 8;
const LEASE: Duration = Duration::from_secs(3_600);
const TICKS_PER_SECOND: f64 = 100.0;
const USER_TIME_FIELD: usize = 11;
const DOCUMENT: &str = r"
name: bench
version: 1
classes:
  - name: search
    kind: { prompt: { service: register, deadline: 20s, queue_limit: 4096 } }
";

/// Entry's request path for callers, on its own thread.
pub(super) struct PathEntry {
    pub(super) address: SocketAddr,
    /// Requests the processor time that the thread has used, in seconds.
    pub(super) processor_time: flume::Sender<flume::Sender<f64>>,
}

/// Starts an executor that answers every request at once with `answer`.
pub(super) fn start_executor(answer: Bytes) -> SocketAddr {
    let handler = async move |mut req: server::Request<'_>| {
        if req.collect(MAX_BODY_BYTES).await.is_err() {
            return Ok(());
        }
        req.respond(http::StatusCode::OK, &http::HeaderMap::new(), answer.clone()).await
    };
    let (tx, rx) = flume::bounded(1);
    thread::spawn(move || {
        runtime::block_on(async move {
            let listener = listen();
            tx.send(listener.local_addr().expect("the listener has an address"))
                .expect("the caller waits");
            server::serve(listener, wide_limits(), handler, server::Shutdown::new()).await;
        })
    });
    rx.recv().expect("the executor starts")
}

/// Starts an entry's request path in front of executors.
pub(super) fn start_entry(executors: Vec<SocketAddr>) -> PathEntry {
    let (tx, rx) = flume::bounded(1);
    let (processor_time, requests) = flume::unbounded();
    thread::spawn(move || {
        runtime::block_on(async move {
            let listener = listen();
            tx.send(listener.local_addr().expect("the listener has an address"))
                .expect("the caller waits");
            monoio::spawn(serve_processor_time(requests));
            let cx = context(&executors);
            let handler = async move |req: server::Request<'_>| prompt::serve(&cx, req).await;
            server::serve(listener, wide_limits(), handler, server::Shutdown::new()).await;
        })
    });
    PathEntry { address: rx.recv().expect("the entry starts"), processor_time }
}

fn listen() -> monoio::net::TcpListener {
    monoio::net::TcpListener::bind("127.0.0.1:0").expect("a port is free")
}

fn wide_limits() -> limits::Limits {
    limits::Limits::new().max_connections(20_000).idle_timeout(LEASE)
}

async fn serve_processor_time(requests: flume::Receiver<flume::Sender<f64>>) {
    while let Ok(reply) = requests.recv_async().await {
        let stat = fs::read_to_string("/proc/thread-self/stat").unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        let ticks: f64 = fields
            .skip(USER_TIME_FIELD)
            .take(2)
            .filter_map(|field| field.parse::<f64>().ok())
            .sum();
        reply.send(ticks / TICKS_PER_SECOND).ok();
    }
}

fn context(executors: &[SocketAddr]) -> prompt::Context {
    let clock = clock::Clock::start();
    let pool = Rc::new(pool::Pool::default());
    let router = router::Config::new(name("south"), name("south-a")).seed(1);
    let cfg = dispatch::DispatchConfig { router };
    let (dispatcher, _) = dispatch::start(cfg, clock, pool.clone());
    let environment_stage = protocol::EnvironmentStage {
        environment: name("bench"),
        stage: document::Stage::Production,
    };
    let view = protocol::DocumentView {
        environment_stage: environment_stage.clone(),
        version: name("1"),
        digest: id::Digest::of(DOCUMENT.as_bytes()),
        text: DOCUMENT.into(),
        revision: 1,
    };
    dispatcher.apply_push(protocol::Push::Documents { revision: 1, documents: vec![view] });
    let row = |(number, address): (usize, &SocketAddr)| protocol::ExecutorRow {
        environment_stage: environment_stage.clone(),
        name: name(&format!("e{number}")),
        incarnation: id::Incarnation::new(1),
        service: name("register"),
        address: *address,
        region: name("south"),
        zone: name("south-a"),
        slots: SLOTS,
        connections: 8 * SLOTS,
        epoch: 1,
        leaving: false,
    };
    let rows = executors.iter().enumerate().map(row).collect();
    let gone = Vec::new();
    dispatcher.apply_push(protocol::Push::Executors { term: 1, is_whole: true, rows, gone });
    let lease = protocol::EntryLease { lease: time::Span::from(LEASE), term: 1, revision: 1 };
    dispatcher.renew_lease(clock.now() + LEASE, lease);
    prompt::Context::new(clock, dispatcher, link_without_voters(clock), pool, MAX_BODY_BYTES)
}

/// Starts a link without voters. Requests without an idempotency key do not use it.
fn link_without_voters(clock: clock::Clock) -> link::Link {
    let hello = peer::Hello {
        version: peer::Hello::VERSION,
        cluster: "bench".to_owned(),
        name: "entry-1".to_owned(),
        role: peer::Role::Entry.into(),
        incarnation: 1,
        region: "south".to_owned(),
        zone: "south-a".to_owned(),
        replica: 0,
        nonce: Bytes::new(),
    };
    let key = peer::ClusterKey::new(vec![7; peer::ClusterKey::MIN_BYTES]);
    let identity = peer::Identity { hello, key };
    let silence_limit = Duration::from_secs(1);
    let cfg = link::LinkConfig { voters: Vec::new(), identity, silence_limit, clock };
    link::start(cfg, flume::unbounded().0)
}
