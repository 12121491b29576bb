use std::{rc, time};

use bytes::Bytes;
use comfreymill_http::server;

use crate::support::{self, Peer, Service, parse_responses, with_timeout};

const GRACE: time::Duration = time::Duration::from_secs(30);

/// Starts a service whose handler reports its start, then waits for the test's signal to respond.
fn blocking_service() -> (Service, flume::Receiver<()>, flume::Sender<()>) {
    let (started_tx, started_rx) = flume::unbounded();
    let (go_tx, go_rx) = flume::unbounded::<()>();
    let go_rx = rc::Rc::new(go_rx);
    let service = Service::start(support::limits(), async move |req: server::Request<'_>| {
        started_tx.send(()).expect("the test waits");
        let _ = go_rx.recv_async().await;
        req.respond(http::StatusCode::OK, &http::HeaderMap::new(), Bytes::from("done")).await
    });
    (service, started_rx, go_tx)
}

#[test]
fn request_in_progress_finishes_and_idle_connections_close() {
    support::run(async {
        let (service, started, go) = blocking_service();
        let mut idle = Peer::connect(service.addr).await;
        let mut busy = Peer::connect(service.addr).await;
        busy.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
        with_timeout(started.recv_async()).await.expect("started");

        service.shutdown.begin(GRACE);
        assert_eq!(idle.read_to_end().await, b"", "an idle connection received bytes at shutdown");
        go.send(()).expect("the handler waits");

        let responses = parse_responses(&busy.read_to_end().await);
        assert_eq!(responses.len(), 1);
        assert_eq!(responses[0].body, b"done");
        assert_eq!(responses[0].header("connection"), Some("close"));
        let drained = service.ended().await;
        assert_eq!(drained, server::DrainReport { connections: 0, requests: 0 });
    });
}

#[test]
fn requests_left_at_the_deadline_are_counted_and_aborted() {
    support::run(async {
        let (service, started, _go) = blocking_service();
        let mut peers = Vec::new();
        for _ in 0..3 {
            let mut peer = Peer::connect(service.addr).await;
            peer.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
            with_timeout(started.recv_async()).await.expect("started");
            peers.push(peer);
        }
        service.shutdown.begin(time::Duration::from_millis(20));
        let drained = service.ended().await;
        assert_eq!(drained, server::DrainReport { connections: 3, requests: 3 });
        for mut peer in peers {
            assert_eq!(
                peer.read_to_end().await,
                b"",
                "an aborted request received part of a response"
            );
        }
    });
}

#[test]
fn no_connection_is_accepted_after_the_shutdown() {
    support::run(async {
        let service = Service::echo(support::limits());
        let addr = service.addr;
        service.shutdown.begin(GRACE);
        service.ended().await;
        let refused = monoio::net::TcpStream::connect_addr(addr).await;
        assert!(refused.is_err(), "the listener still accepts connections");
    });
}
