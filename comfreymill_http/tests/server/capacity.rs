use std::{cell, rc};

use bytes::Bytes;
use comfreymill_http::server;

use crate::support::{self, Peer, Service, parse_responses, with_timeout, yield_to_tasks};

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
        let responses = Peer::exchange(service.addr, REQUEST).await;
        assert_eq!(responses.len(), 1);
        assert_eq!(responses[0].status, 503);
        assert_eq!(responses[0].kind(), Some("connection_limit"));
        assert_eq!(responses[0].header("retry-after"), Some("1"));

        first.finish().await;
        first.read_to_end().await;
        let last = "GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let responses = Peer::exchange(service.addr, last).await;
        assert_eq!(responses[0].status, 200);
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
        with_timeout(started_rx.recv_async()).await.expect("started");

        let mut other = Peer::connect(service.addr).await;
        other.write(REQUEST).await;
        let refused = parse_responses(&other.read_until(b"}").await);
        assert_eq!((refused[0].status, refused[0].kind()), (503, Some("request_limit")));

        go_tx.send(()).expect("the handler waits");
        go_tx.send(()).expect("the handler waits");
        busy.read_until(b"\r\n\r\n").await;
        other.write(REQUEST).await;
        let responses = parse_responses(&other.read_until(b"\r\n\r\n").await);
        assert_eq!(responses[0].status, 200, "the connection serves no request after a refusal");
    });
}

#[test]
fn bodies_over_the_memory_limit_are_refused_until_memory_is_released() {
    support::run(async {
        let (go_tx, go_rx) = flume::unbounded::<()>();
        let (collected_tx, collected_rx) = flume::unbounded();
        let limits = support::limits().max_collected_bytes(100);
        let service = Service::start(limits, async move |mut req: server::Request<'_>| {
            let body = req.collect(u64::MAX).await?;
            collected_tx.send(()).expect("the test waits");
            let _ = go_rx.recv_async().await;
            req.respond(http::StatusCode::OK, &http::HeaderMap::new(), body).await
        });
        let post =
            format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 60\r\n\r\n{}", "x".repeat(60));
        let mut first = Peer::connect(service.addr).await;
        first.write(post.as_str()).await;
        with_timeout(collected_rx.recv_async()).await.expect("collected");

        let refused = Peer::exchange(service.addr, post.as_str()).await;
        assert_eq!((refused[0].status, refused[0].kind()), (503, Some("body_memory_limit")));
        assert_eq!(refused[0].header("retry-after"), Some("1"));

        for _ in 0..3 {
            go_tx.send(()).expect("the handler waits");
            assert_eq!(first.read_bodies(1).await.len(), 1);
            first.write(post.as_str()).await;
            with_timeout(collected_rx.recv_async()).await.expect("collected again");
        }
    });
}

#[test]
fn caller_with_many_requests_does_not_block_another() {
    let log = rc::Rc::new(cell::RefCell::new(Vec::new()));
    let seen = rc::Rc::clone(&log);
    support::run(async move {
        let service = Service::start(support::limits(), async move |req: server::Request<'_>| {
            seen.borrow_mut().push(req.uri().path().to_owned());
            req.respond(http::StatusCode::OK, &http::HeaderMap::new(), Bytes::new()).await
        });
        let mut many = Peer::connect(service.addr).await;
        let mut one = Peer::connect(service.addr).await;
        for peer in [&mut many, &mut one] {
            peer.write(REQUEST).await;
            peer.read_bodies(1).await;
        }
        many.write("GET /many HTTP/1.1\r\nhost: h\r\n\r\n".repeat(300)).await;
        one.write("GET /one HTTP/1.1\r\nhost: h\r\n\r\n").await;
        assert_eq!(one.read_bodies(1).await.len(), 1);
        assert_eq!(many.read_bodies(300).await.len(), 300);
    });
    let log = log.borrow();
    let position = log.iter().position(|path| path == "/one").expect("answered");
    assert!(position < 20, "answered after {position} requests");
}

#[test]
fn caller_with_a_large_body_does_not_block_another() {
    const BODY_BYTES: usize = 4 * 1024 * 1024;
    let reads = rc::Rc::new(cell::Cell::new(0));
    let seen = rc::Rc::clone(&reads);
    let (go_tx, go_rx) = flume::unbounded::<()>();
    let limits = support::limits().max_body_bytes(BODY_BYTES as u64);
    support::run(async move {
        let service = Service::start(limits, async move |mut req: server::Request<'_>| {
            if req.method() == http::Method::POST {
                go_rx.recv_async().await.expect("the test waits");
                while req.chunk().await?.is_some() {
                    seen.set(seen.get() + 1);
                }
            }
            let reads = Bytes::from(seen.get().to_string());
            req.respond(http::StatusCode::OK, &http::HeaderMap::new(), reads).await
        });
        let mut one = Peer::connect(service.addr).await;
        one.write(REQUEST).await;
        one.read_bodies(1).await;
        let mut large = Peer::connect(service.addr).await;
        let sent = monoio::spawn(async move {
            let head =
                format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
            large.write(head).await;
            large.write(vec![b'x'; BODY_BYTES]).await;
            large.read_bodies(1).await
        });
        yield_to_tasks().await;
        one.write(REQUEST).await;
        go_tx.send(()).expect("the handler waits");
        let response = one.read_bodies(1).await;
        let text = String::from_utf8(response.concat()).expect("text");
        let reads: u32 = text.parse().expect("count");
        assert!(reads <= 32, "answered after {reads} reads");
        assert_eq!(with_timeout(sent).await.len(), 1);
    });
    assert!(reads.get() > 32, "only {} reads in all", reads.get());
}
