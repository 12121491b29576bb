use std::time;

use bytes::Bytes;
use comfreymill_http::client;

use crate::support::{self, Service, Upstream, head, open, with_timeout};

const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(20);

#[test]
fn refused_connection_has_sent_nothing() {
    support::run(async {
        let addr = Upstream::bind().addr;
        let err = client::Connection::connect(addr, support::limits(), CONNECT_TIMEOUT)
            .await
            .expect_err("refused");
        assert_eq!(err.sent, client::Sent::Nothing);
        assert_eq!(
            err.kind,
            client::ClientErrorKind::Connect(std::io::ErrorKind::ConnectionRefused)
        );
    });
}

#[test]
fn kept_connection_that_the_peer_closed_has_sent_nothing() {
    support::run(async {
        let upstream = Upstream::bind();
        let mut conn = open(upstream.addr).await;
        let mut peer = upstream.accept().await;
        monoio::spawn(async move {
            peer.read_until(b"\r\n\r\n").await;
            peer.write("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na").await;
        });
        let body = conn.send(&head("GET"), Bytes::new()).await.expect("first").collect(9).await;
        assert_eq!(body, Ok(Bytes::from("a")));
        while !conn.is_stale().await {
            monoio::time::sleep(time::Duration::from_millis(1)).await;
        }
        let err = conn.send(&head("GET"), Bytes::new()).await.expect_err("stale");
        assert_eq!(err.kind, client::ClientErrorKind::Stale);
        assert_eq!(err.sent, client::Sent::Nothing);
        assert_eq!(conn.sent(), client::Sent::Nothing);
    });
}

#[test]
fn request_counts_as_sent_when_the_peer_closes_without_a_response() {
    support::run(async {
        let upstream = Upstream::bind();
        let addr = upstream.addr;
        monoio::spawn(async move {
            let mut peer = upstream.accept().await;
            peer.read().await;
        });
        let mut conn = open(addr).await;
        let err = with_timeout(conn.send(&head("GET"), Bytes::new())).await.expect_err("closed");
        assert_eq!(err.sent, client::Sent::Some);
        assert_eq!(err.kind, client::ClientErrorKind::Closed);
        assert!(!conn.is_reusable(), "a failed connection is reusable");
    });
}

#[test]
fn connection_is_used_again_after_a_whole_response() {
    support::run(async {
        let service = Service::echo(support::limits());
        let mut conn = open(service.addr).await;
        for text in ["one", "two", "three"] {
            let head = head("POST");
            let body = {
                let mut response = conn.send(&head, Bytes::from(text)).await.expect("sent");
                response.collect(100).await.expect("whole")
            };
            assert_eq!(body, text);
            assert!(conn.is_reusable(), "after {text}");
        }
    });
}

#[test]
fn one_shot_request_reads_the_whole_response() {
    support::run(async {
        let service = Service::echo(support::limits());
        let response = client::request(
            service.addr,
            http::Method::PUT,
            "/one?two=3".parse().expect("target"),
            http::HeaderMap::new(),
            Bytes::from("body"),
            CONNECT_TIMEOUT,
        )
        .await
        .expect("response");
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()["x-target"], "/one?two=3");
        assert_eq!(response.body(), "body");
    });
}
