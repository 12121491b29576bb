use bytes::Bytes;
use comfreymill_http::{head::HeadError, server};

use crate::support::{
    self, Peer, Service, Upstream, parse_responses, with_timeout, yield_to_tasks,
};

const REQUEST: &str = "GET /1 HTTP/1.1\r\nhost: h\r\n\r\n";

#[test]
fn handler_without_a_response_causes_a_500() {
    support::run(async {
        let service = Service::start(support::limits(), async |req: server::Request<'_>| {
            drop(req);
            Ok(())
        });
        let responses = Peer::exchange(service.addr, REQUEST).await;
        assert_eq!((responses[0].status, responses[0].kind()), (500, Some("no_answer")));
    });
}

#[test]
fn unread_body_does_not_become_the_next_request() {
    support::run(async {
        let service = Service::start(support::limits(), async |req: server::Request<'_>| {
            let target = Bytes::from(req.uri().path().to_owned());
            req.respond(http::StatusCode::OK, &http::HeaderMap::new(), target).await
        });
        let inner = "GET /smuggled HTTP/1.1\r\nhost: h\r\n\r\n";
        let input = format!(
            "POST /1 HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n{inner}\
             GET /2 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n",
            inner.len()
        );
        let responses = Peer::exchange(service.addr, input).await;
        let bodies = responses.iter().map(|response| response.body.as_slice()).collect::<Vec<_>>();
        assert_eq!(bodies, [b"/1".as_slice(), b"/2"]);
    });
}

#[test]
fn unread_body_over_the_drain_limit_closes_the_connection() {
    support::run(async {
        let limits = support::limits().max_drain_bytes(10);
        let service = Service::start(limits, async |req: server::Request<'_>| {
            req.respond(http::StatusCode::OK, &http::HeaderMap::new(), Bytes::new()).await
        });
        let input = format!(
            "POST /1 HTTP/1.1\r\nhost: h\r\ncontent-length: 50\r\n\r\n{}{REQUEST}",
            "x".repeat(50)
        );
        let responses = Peer::exchange(service.addr, input).await;
        assert_eq!(responses.len(), 1);
        assert_eq!(responses[0].header("connection"), Some("close"));
    });
}

#[test]
fn caller_that_disconnects_is_detected() {
    support::run(async {
        let (gone_tx, gone_rx) = flume::unbounded();
        let service =
            Service::start(support::limits(), async move |mut req: server::Request<'_>| {
                req.closed().await;
                gone_tx.send(()).expect("the test waits");
                Ok(())
            });
        let mut peer = Peer::connect(service.addr).await;
        peer.write(REQUEST).await;
        yield_to_tasks().await;
        assert!(gone_rx.is_empty(), "the connected caller was reported as closed");
        drop(peer);
        with_timeout(gone_rx.recv_async()).await.expect("noticed");
    });
}

#[test]
fn pipelined_bytes_are_kept_while_the_caller_is_watched() {
    support::run(async {
        let service = Service::start(support::limits(), async |mut req: server::Request<'_>| {
            let target = Bytes::from(req.uri().path().to_owned());
            let watched = monoio::time::timeout(std::time::Duration::from_millis(30), req.closed());
            assert!(watched.await.is_err(), "the connected caller was reported as closed");
            req.respond(http::StatusCode::OK, &http::HeaderMap::new(), target).await
        });
        let mut peer = Peer::connect(service.addr).await;
        peer.write(REQUEST).await;
        yield_to_tasks().await;
        peer.write("GET /2 HTTP/1.1\r\nhost: h\r\n\r\nGET /3 HTT").await;
        yield_to_tasks().await;
        peer.write("P/1.1\r\nhost: h\r\nconnection: close\r\n\r\n").await;
        let responses = parse_responses(&peer.read_to_end().await);
        let bodies = responses.iter().map(|response| response.body.as_slice()).collect::<Vec<_>>();
        assert_eq!(bodies, [b"/1".as_slice(), b"/2", b"/3"]);
    });
}

#[test]
fn connection_returns_no_request_after_a_refusal() {
    support::run(async {
        let upstream = Upstream::bind();
        let mut peer = Peer::connect(upstream.addr).await;
        peer.write(format!("GET / HTTP/9.9\r\n\r\n{REQUEST}")).await;
        peer.finish().await;
        let mut conn = server::Connection::new(upstream.accept_raw().await, support::limits());
        let refusal = server::Refusal::Head(HeadError::Version);
        let err = conn.next().await.expect_err("refused");
        assert!(matches!(err, server::ServerError::Refused(seen) if seen == refusal), "{err:?}");
        assert!(conn.next().await.expect("ended").is_none());
        let responses = parse_responses(&peer.read_until(b"}").await);
        assert_eq!((responses[0].status, responses[0].kind()), (505, Some("bad_version")));
    });
}

#[test]
fn watched_caller_cannot_fill_the_memory() {
    support::run(async {
        let service = Service::start(support::limits(), async |mut req: server::Request<'_>| {
            req.closed().await;
            Ok(())
        });
        let mut peer = Peer::connect(service.addr).await;
        peer.write(REQUEST).await;
        let more = peer.write(vec![b'x'; 64 * 1024 * 1024]);
        let taken = monoio::time::timeout(std::time::Duration::from_millis(300), more).await;
        assert!(taken.is_err(), "the server buffered 64 MiB of unrequested input");
    });
}
