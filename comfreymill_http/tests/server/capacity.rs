use bytes::Bytes;
use comfreymill_http::server;

use crate::support::{self, Peer, Service, guard, parse_answers};

const REQUEST: &str = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";

#[test]
fn connections_over_the_limit_are_refused_until_one_ends() {
    support::run(async {
        let service = Service::echo(support::limits().max_connections(2));
        let mut first = Peer::connect(service.addr).await;
        let mut second = Peer::connect(service.addr).await;
        for peer in [&mut first, &mut second] {
            peer.write(REQUEST).await;
            peer.read_until(b"\r\n\r\n").await;
        }
        let answers = Peer::exchange(service.addr, REQUEST).await;
        assert_eq!(answers.len(), 1);
        assert_eq!(answers[0].status, 503);
        assert_eq!(answers[0].kind(), Some("connection_limit"));
        assert_eq!(answers[0].header("retry-after"), Some("1"));

        first.finish().await;
        first.read_to_end().await;
        let last = "GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let answers = Peer::exchange(service.addr, last).await;
        assert_eq!(answers[0].status, 200);
    });
}

#[test]
fn requests_over_the_limit_are_refused_and_the_connection_is_kept() {
    support::run(async {
        let (started_tx, started_rx) = flume::unbounded();
        let (go_tx, go_rx) = flume::unbounded::<()>();
        let limits = support::limits().max_requests_in_progress(1);
        let service = Service::start(limits, async move |req: server::Request<'_>| {
            started_tx.send(()).expect("the test waits");
            let _ = go_rx.recv_async().await;
            req.respond(http::StatusCode::OK, &http::HeaderMap::new(), Bytes::new()).await
        });
        let mut busy = Peer::connect(service.addr).await;
        busy.write(REQUEST).await;
        guard(started_rx.recv_async()).await.expect("started");

        let mut other = Peer::connect(service.addr).await;
        other.write(REQUEST).await;
        let refused = parse_answers(&other.read_until(b"}").await);
        assert_eq!((refused[0].status, refused[0].kind()), (503, Some("request_limit")));

        go_tx.send(()).expect("the handler waits");
        go_tx.send(()).expect("the handler waits");
        busy.read_until(b"\r\n\r\n").await;
        other.write(REQUEST).await;
        let answers = parse_answers(&other.read_until(b"\r\n\r\n").await);
        assert_eq!(answers[0].status, 200, "the kept connection serves again");
    });
}
