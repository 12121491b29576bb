//! A client whose leader stops to answer calls; the members are fakes that speak the protocol.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use comfreymill_jobs::job;
use comfreymill_node::jobcall::{self, Call, Client, LinkConfig, Members, Reply};
use comfreymill_node::peer;
use comfreymill_node::runtime;
use monoio::net::TcpListener;

const OLD: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
const NEXT: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
/// Time that a call may take on a machine that is busy.
const LIMIT: Duration = Duration::from_secs(20);

fn identity(role: peer::Role) -> peer::Identity {
    let hello = peer::Hello {
        version: peer::Hello::VERSION,
        cluster: "derwent-hull".to_owned(),
        name: "member".to_owned(),
        role: role.into(),
        incarnation: 1,
        region: "tas-south".to_owned(),
        zone: "hobart-a".to_owned(),
        replica: 1,
        nonce: Bytes::new(),
    };
    peer::Identity { hello, key: peer::ClusterKey::new("the key of this cluster") }
}

/// Returns listeners on one port of both addresses.
fn listen() -> (TcpListener, TcpListener, u16) {
    for _ in 0..100 {
        let old = TcpListener::bind(SocketAddr::new(IpAddr::V4(OLD), 0)).expect("a port");
        let port = old.local_addr().expect("an address").port();
        if let Ok(next) = TcpListener::bind(SocketAddr::new(IpAddr::V4(NEXT), port)) {
            return (old, next, port);
        }
    }
    panic!("no port is free on both addresses");
}

async fn accept(listener: TcpListener) -> peer::Connection {
    let (stream, _) = listener.accept().await.expect("a connection");
    peer::Connection::accept(stream, &identity(peer::Role::Control)).await.expect("a peer")
}

async fn say_leader(connection: &mut peer::Connection, leader: Ipv4Addr) {
    let members = Members { leader: Some(leader), all: vec![OLD, NEXT] };
    let frame = peer::Frame::new(peer::FrameKind::Push, 0, jobcall::encode(&members));
    connection.writer.send(frame).await.expect("sent");
}

/// Reads frames and answers keep-alives until a call arrives, and returns its id.
async fn next_call(connection: &mut peer::Connection) -> u64 {
    loop {
        let frame = connection.reader.next().await.expect("a frame");
        if frame.kind() == peer::FrameKind::Call {
            return frame.id;
        }
        connection.writer.send(frame).await.expect("sent");
    }
}

fn submission() -> Call {
    let spec = job::JobSpec { payload: String::new(), steps: Vec::new(), schedule: None };
    Call::Submit {
        host: "jobs.example".to_owned(),
        path: "/jobs/1".to_owned(),
        spec: Box::new(spec),
    }
}

/// The first leader takes the call and goes on answering keep-alives; `last` is the next one's reply.
fn call_with_a_stuck_leader(last: Reply, limit: Duration) -> Result<Reply, jobcall::CallError> {
    runtime::block_on(async {
        let (old, next, peers_port) = listen();
        let cfg = LinkConfig {
            identity: identity(peer::Role::Entry),
            seeds: vec![OLD, NEXT],
            peers_port,
        };
        let client = Client::start(cfg);
        let (taken, is_taken) = flume::bounded(1);
        monoio::spawn(async move {
            let mut connection = accept(old).await;
            say_leader(&mut connection, OLD).await;
            next_call(&mut connection).await;
            taken.send(()).ok();
            loop {
                next_call(&mut connection).await;
            }
        });
        monoio::spawn(async move {
            let mut connection = accept(next).await;
            is_taken.recv_async().await.ok();
            say_leader(&mut connection, NEXT).await;
            let id = next_call(&mut connection).await;
            let frame = peer::Frame::new(peer::FrameKind::Reply, id, jobcall::encode(&last));
            connection.writer.send(frame).await.expect("sent");
            loop {
                next_call(&mut connection).await;
            }
        });
        client.call(&submission(), limit).await
    })
    .expect("a runtime")
}

#[test]
fn a_call_that_the_leader_does_not_answer_goes_to_the_next_one() {
    assert_eq!(call_with_a_stuck_leader(Reply::Done, LIMIT), Ok(Reply::Done));
}

#[test]
fn a_call_that_one_leader_took_is_not_called_refused_by_the_next() {
    let retry_after_ms = 100;
    let error = call_with_a_stuck_leader(Reply::Overloaded { retry_after_ms }, LIMIT / 10);
    assert_eq!(error, Err(jobcall::CallError { was_sent: true, retry_after: None }));
}
