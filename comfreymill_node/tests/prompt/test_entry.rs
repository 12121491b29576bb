use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::limits;
use comfreymill_http::server;
use comfreymill_node::clock;
use comfreymill_node::entry::{dispatch, link, pool, prompt};
use comfreymill_node::peer;
use comfreymill_node::protocol;
use comfreymill_route::router;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::time;

const MAX_BODY_BYTES: u64 = 1 << 20;
const DOCUMENT: &str = r"
name: trust
version: 1
classes:
  - name: search
    kind: { prompt: { service: register, deadline: 400ms } }
  - name: medium
    kind: { prompt: { service: register, deadline: 3s } }
  - name: long
    kind: { prompt: { service: register, deadline: 20s } }
  - name: certificate
    unrepeatable: true
    kind: { prompt: { service: register, deadline: 400ms } }
";

/// Callers' side of an entry, with the state that the leader would push supplied by the test.
pub(super) struct TestEntry {
    pub(super) callers: SocketAddr,
    pub(super) dispatcher: dispatch::Dispatcher,
}

impl TestEntry {
    /// Starts the entry with executors that have `slots` each.
    pub(super) fn start(executors: &[SocketAddr], slots: u32) -> Self {
        let clock = clock::Clock::start();
        let pool = Rc::new(pool::Pool::default());
        let router = router::Config::new(name("tas-south"), name("hobart-a")).seed(1);
        let cfg = dispatch::DispatchConfig { router };
        let (dispatcher, _) = dispatch::start(cfg, clock, pool.clone());
        dispatcher.apply_push(documents());
        dispatcher.apply_push(table(executors, slots));
        let lease = protocol::EntryLease { lease: time::Span::from_secs(60), term: 1, revision: 1 };
        dispatcher.renew_lease(clock.now() + Duration::from_secs(60), lease);
        let cx =
            prompt::Context::new(clock, dispatcher.clone(), no_link(clock), pool, MAX_BODY_BYTES);
        let listener = monoio::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let callers = listener.local_addr().expect("it is bound");
        let handler = async move |req: server::Request<'_>| prompt::serve(&cx, req).await;
        monoio::spawn(server::serve(
            listener,
            limits::Limits::new(),
            handler,
            server::Shutdown::new(),
        ));
        Self { callers, dispatcher }
    }

    /// Returns the number of requests that are not over.
    pub(super) async fn open_requests(&self) -> usize {
        self.dispatcher.status().await.expect("the dispatcher runs").open_requests
    }
}

fn name<N>(text: &str) -> N
where
    N: std::str::FromStr,
{
    text.parse().ok().expect("the name is valid")
}

fn environment_stage() -> protocol::EnvironmentStage {
    protocol::EnvironmentStage { environment: name("trust"), stage: document::Stage::Production }
}

fn documents() -> protocol::Push {
    let view = protocol::DocumentView {
        environment_stage: environment_stage(),
        version: "1".parse().expect("a version"),
        digest: id::Digest::of(DOCUMENT.as_bytes()),
        text: DOCUMENT.into(),
        revision: 1,
    };
    protocol::Push::Documents { revision: 1, documents: vec![view] }
}

fn table(executors: &[SocketAddr], slots: u32) -> protocol::Push {
    let row = |(number, address): (usize, &SocketAddr)| protocol::ExecutorRow {
        environment_stage: environment_stage(),
        name: name(&format!("e{number}")),
        incarnation: id::Incarnation::new(1),
        service: name("register"),
        address: *address,
        region: name("tas-south"),
        zone: name("hobart-a"),
        slots,
        connections: 8 * slots,
        epoch: 1,
        leaving: false,
    };
    let rows = executors.iter().enumerate().map(row).collect();
    protocol::Push::Executors { term: 1, is_whole: true, rows, gone: Vec::new() }
}

/// Returns a link without voters, on which all calls fail.
fn no_link(clock: clock::Clock) -> link::Link {
    let hello = peer::Hello {
        version: peer::Hello::VERSION,
        cluster: "trust".to_owned(),
        name: "entry-1".to_owned(),
        role: peer::Role::Entry.into(),
        incarnation: 1,
        region: "tas-south".to_owned(),
        zone: "hobart-a".to_owned(),
        replica: 0,
        nonce: Bytes::new(),
    };
    let key = peer::ClusterKey::new(vec![7; peer::ClusterKey::MIN_BYTES]);
    let cfg = link::LinkConfig {
        voters: Vec::new(),
        identity: peer::Identity { hello, key },
        silence_limit: Duration::from_secs(1),
        clock,
    };
    link::start(cfg, flume::unbounded().0)
}
