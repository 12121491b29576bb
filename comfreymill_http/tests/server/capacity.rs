use std::{cell, io::Write as _, net, rc, thread, time};

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

#[test]
fn caller_with_many_requests_does_not_hold_up_another() {
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
fn caller_that_sends_without_end_does_not_hold_up_another() {
    let limits = support::limits().max_body_bytes(1 << 40);
    let (addr_tx, addr_rx) = flume::bounded(1);
    let (stop_tx, stop_rx) = flume::bounded::<()>(1);
    let sender = thread::spawn(move || {
        let addr: net::SocketAddr = addr_rx.recv().expect("address");
        let mut stream = net::TcpStream::connect(addr).expect("connect");
        let head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 999999999999\r\n\r\n";
        stream.write_all(head).expect("head");
        while stop_rx.is_empty() && stream.write_all(&[b'x'; 256 * 1024]).is_ok() {}
    });
    support::run(async {
        let service = Service::start(limits, async |mut req: server::Request<'_>| {
            while req.chunk().await?.is_some() {}
            req.respond(http::StatusCode::OK, &http::HeaderMap::new(), Bytes::new()).await
        });
        addr_tx.send(service.addr).expect("the sender waits");
        let mut peer = Peer::connect(service.addr).await;
        for _ in 0..200 {
            peer.write(REQUEST).await;
            assert_eq!(peer.read_bodies(1).await.len(), 1);
        }
        stop_tx.send(()).expect("the sender runs");
        service.shutdown.cut();
        while !sender.is_finished() {
            monoio::time::sleep(time::Duration::from_millis(1)).await;
        }
    });
}
