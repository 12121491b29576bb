use std::{rc, time};

use bytes::Bytes;
use comfreymill_http::server;
use http::{HeaderMap, StatusCode};

use crate::support::{self, Peer, Service, parse_responses, with_timeout};

const PIECES: [&str; 4] = ["one ", "", "two ", "three"];

#[derive(Clone, Copy)]
enum End {
    Finish,
    Drop,
}

async fn stream(
    req: server::Request<'_>,
    status: StatusCode,
    length: Option<u64>,
    end: End,
) -> Result<(), server::ServerError> {
    let mut writer = req.start_response(status, &HeaderMap::new(), length).await?;
    for piece in PIECES {
        writer.chunk(Bytes::from(piece)).await?;
    }
    match end {
        End::Finish => writer.finish().await,
        End::Drop => Ok(()),
    }
}

async fn raw(request: &str, status: StatusCode, length: Option<u64>, end: End) -> Vec<u8> {
    let service = Service::start(support::limits(), async move |req: server::Request<'_>| {
        stream(req, status, length, end).await
    });
    let mut peer = Peer::connect(service.addr).await;
    peer.write(request).await;
    peer.finish().await;
    peer.read_to_end().await
}

#[test]
fn streamed_responses_are_framed_for_the_caller() {
    let new = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    let old = "GET / HTTP/1.0\r\n\r\n";
    let head = "HEAD / HTTP/1.1\r\nhost: h\r\n\r\n";
    let cases = [
        (new, 200, Some(13), "one two three", Some("13"), None),
        (new, 200, None, "one two three", None, Some("chunked")),
        (old, 200, None, "one two three", Some("13"), None),
        (new, 204, None, "", None, None),
        (new, 304, Some(13), "", None, None),
    ];
    for (request, status, length, body, stated, coding) in cases {
        let status = StatusCode::from_u16(status).expect("status");
        let wire = support::run(raw(request, status, length, End::Finish));
        let responses = parse_responses(&wire);
        let shown = String::from_utf8_lossy(&wire).into_owned();
        assert_eq!(responses.len(), 1, "{shown:?}");
        assert_eq!(responses[0].body, body.as_bytes(), "{shown:?}");
        assert_eq!(responses[0].header("content-length"), stated, "{shown:?}");
        assert_eq!(responses[0].header("transfer-encoding"), coding, "{shown:?}");
    }
    let wire = support::run(raw(head, StatusCode::OK, Some(13), End::Finish));
    let text = String::from_utf8(wire).expect("text");
    assert_eq!(text, "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n");
}

#[test]
fn dropped_responses_are_never_complete() {
    let request = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
    let chunked = support::run(raw(request, StatusCode::OK, None, End::Drop));
    let text = String::from_utf8(chunked).expect("text");
    assert!(text.contains("three"), "{text:?}");
    assert!(!text.contains("0\r\n\r\n"), "{text:?}");

    let old = "GET / HTTP/1.0\r\n\r\n";
    let collected = support::run(raw(old, StatusCode::OK, None, End::Drop));
    let responses = parse_responses(&collected);
    assert_eq!(responses[0].kind(), Some("no_answer"));
}

#[test]
fn responses_that_break_their_length_are_cut_short() {
    for length in [5, 20] {
        let outcome = rc::Rc::new(std::cell::RefCell::new(None));
        let seen = rc::Rc::clone(&outcome);
        let wire = support::run(async move {
            let service =
                Service::start(support::limits(), async move |req: server::Request<'_>| {
                    let res = stream(req, StatusCode::OK, Some(length), End::Finish).await;
                    *seen.borrow_mut() = Some(matches!(res, Err(server::ServerError::WrongLength)));
                    res
                });
            let mut peer = Peer::connect(service.addr).await;
            peer.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
            peer.read_to_end().await
        });
        let text = String::from_utf8(wire).expect("text");
        let body = text.split_once("\r\n\r\n").expect("head").1;
        assert!((body.len() as u64) < length, "{text:?}");
        assert_eq!(*outcome.borrow(), Some(true), "length {length}");
    }
}

#[test]
fn caller_that_reads_nothing_times_out() {
    support::run(async {
        let (ended_tx, ended_rx) = flume::unbounded();
        let limits = support::limits().write_timeout(time::Duration::from_millis(50));
        let service = Service::start(limits, async move |req: server::Request<'_>| {
            let body = Bytes::from(vec![b'x'; 64 * 1024 * 1024]);
            let res = req.respond(StatusCode::OK, &HeaderMap::new(), body).await;
            ended_tx.send(matches!(res, Err(server::ServerError::WriteTimeout))).expect("test");
            res
        });
        let mut peer = Peer::connect(service.addr).await;
        peer.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n").await;
        assert!(
            with_timeout(ended_rx.recv_async()).await.expect("ended"),
            "the write ended without a write timeout"
        );
    });
}
