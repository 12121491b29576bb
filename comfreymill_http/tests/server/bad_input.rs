use std::time;

use comfreymill_http::limits;

use crate::support::{self, Peer, Service};

/// Sends the input and returns the status and kind of the only response before the close.
async fn refusal(input: Vec<u8>) -> (u16, String) {
    refusal_within(support::limits(), input).await
}

async fn refusal_within(limits: limits::Limits, input: Vec<u8>) -> (u16, String) {
    let service = Service::echo(limits);
    let responses = Peer::exchange(service.addr, input.clone()).await;
    let shown = String::from_utf8_lossy(&input).into_owned();
    assert_eq!(responses.len(), 1, "{shown:?}: {responses:?}");
    let response = &responses[0];
    assert_eq!(response.header("connection"), Some("close"), "{shown:?}");
    let kind =
        response.kind().unwrap_or_else(|| panic!("{shown:?}: no error kind in {response:?}"));
    let body: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
    assert_eq!(body["kind"], kind, "{shown:?}");
    assert!(body["message"].is_string(), "{shown:?}");
    (response.status, kind.to_owned())
}

/// A request appended to an invalid message; it must never be processed (request smuggling).
const SMUGGLED: &str = "GET /smuggled HTTP/1.1\r\nhost: h\r\n\r\n";

#[test]
fn malformed_heads_are_refused_and_the_connection_closed() {
    let cases: [(&str, u16, &str); 37] = [
        ("GET / HTTP/1.1\r\nhost: h\r\nno colon\r\n\r\n", 400, "malformed_head"),
        ("GET / HTTP/1.1\r\nhost : h\r\n\r\n", 400, "malformed_head"),
        ("GET / HTTP/1.1\r\nhost: h\r\nx: 1\r\n folded\r\n\r\n", 400, "malformed_head"),
        ("GET / HTTP/1.1\r\n: empty\r\nhost: h\r\n\r\n", 400, "malformed_head"),
        ("GET / HTTP/1.1\r\nhost: h\r\nb[d: 1\r\n\r\n", 400, "malformed_head"),
        ("GET  / HTTP/1.1\r\nhost: h\r\n\r\n", 400, "malformed_head"),
        ("GET /a b HTTP/1.1\r\nhost: h\r\n\r\n", 400, "malformed_head"),
        ("G\u{e9}T / HTTP/1.1\r\nhost: h\r\n\r\n", 400, "malformed_head"),
        ("GET /\r\nhost: h\r\n\r\n", 400, "malformed_head"),
        ("\r\n\r\n\r\nGET / HTTP/1.1\r\nhost: h\r\n\r\n", 400, "malformed_head"),
        ("GET / HTTP/2.0\r\nhost: h\r\n\r\n", 505, "bad_version"),
        ("GET / HTTP/1.2\r\nhost: h\r\n\r\n", 505, "bad_version"),
        ("GET / HTTP/1.1\nhost: h\n\n", 400, "bad_line_ending"),
        ("GET / HTTP/1.1\r\nhost: h\nx: 1\r\n\r\n", 400, "bad_line_ending"),
        ("GET / HTTP/1.1\r\nhost: h\r\nx: a\rb\r\n\r\n", 400, "bad_line_ending"),
        ("GET / HTTP/1.1\r\nhost: h\r\nx: a\0b\r\n\r\n", 400, "nul_in_head"),
        ("GET / HTTP/1.1\r\n\r\n", 400, "bad_host"),
        ("GET / HTTP/1.1\r\nhost: a\r\nhost: a\r\n\r\n", 400, "bad_host"),
        ("GET / HTTP/1.1\r\nhost: a b\r\n\r\n", 400, "bad_host"),
        ("GET / HTTP/1.1\r\nhost: a,b\r\n\r\n", 400, "bad_host"),
        ("GET / HTTP/1.0\r\nhost: a\r\nhost: b\r\n\r\n", 400, "bad_host"),
        ("@length: 5\r\n@length: 6\r\n\r\nabcdef", 400, "bad_length"),
        ("@length: 5\r\n@length: 5\r\n\r\nabcde", 400, "bad_length"),
        ("@length: 5, 5\r\n\r\nabcde", 400, "bad_length"),
        ("@length: -1\r\n\r\n", 400, "bad_length"),
        ("@length: +5\r\n\r\nabcde", 400, "bad_length"),
        ("@length: 0x5\r\n\r\nabcde", 400, "bad_length"),
        ("@length: \r\n\r\n", 400, "bad_length"),
        ("@length: 99999999999999999999\r\n\r\n", 400, "bad_length"),
        ("@length: 00000000000000000000005\r\n\r\nabcde", 400, "bad_length"),
        ("@length: 5\r\n@coding: chunked\r\n\r\n0\r\n\r\n", 400, "length_and_transfer_encoding"),
        ("@coding: chunked\r\n@length: 5\r\n\r\n0\r\n\r\n", 400, "length_and_transfer_encoding"),
        ("@coding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, "bad_transfer_coding"),
        ("@coding: chunked\r\n@coding: chunked\r\n\r\n0\r\n\r\n", 501, "bad_transfer_coding"),
        ("@coding: xchunked\r\n\r\n0\r\n\r\n", 501, "bad_transfer_coding"),
        ("@length: 5\r\nexpect: 200-ok\r\n\r\n", 417, "bad_expectation"),
        ("POST / HTTP/1.0\r\n@coding: chunked\r\n\r\n0\r\n\r\n", 400, "transfer_encoding_version"),
    ];
    for (text, status, kind) in cases {
        let start = if text.starts_with('@') { "POST / HTTP/1.1\r\nhost: h\r\n" } else { "" };
        let input = format!("{start}{text}{SMUGGLED}")
            .replace("@length", "content-length")
            .replace("@coding", "transfer-encoding");
        let seen = support::run(refusal(input.into_bytes()));
        assert_eq!(seen, (status, kind.to_owned()), "{text:?}");
    }
}

#[test]
fn malformed_bodies_are_refused_and_the_connection_closed() {
    let long = "x".repeat(2000);
    let trailer = "x-trailer: v\r\n".repeat(1000);
    let cases: [(String, u16, &str); 14] = [
        ("zz\r\nabc\r\n0\r\n\r\n".into(), 400, "bad_chunk"),
        ("\r\n\r\n".into(), 400, "bad_chunk"),
        (" 3\r\nabc\r\n0\r\n\r\n".into(), 400, "bad_chunk"),
        ("+3\r\nabc\r\n0\r\n\r\n".into(), 400, "bad_chunk"),
        ("-1\r\nabc\r\n0\r\n\r\n".into(), 400, "bad_chunk"),
        ("0x3\r\nabc\r\n0\r\n\r\n".into(), 400, "bad_chunk"),
        ("3\nabc\r\n0\r\n\r\n".into(), 400, "bad_chunk"),
        ("3\r\nabcd\r\n0\r\n\r\n".into(), 400, "bad_chunk"),
        ("3\r\nabc0\r\n\r\n".into(), 400, "bad_chunk"),
        ("fffffffffffffffff\r\nabc\r\n".into(), 400, "bad_chunk"),
        (format!("3;{long}\r\nabc\r\n0\r\n\r\n"), 400, "bad_chunk"),
        ("ffffffff\r\n".to_owned() + &"x".repeat(70_000), 413, "body_too_large"),
        ("0\r\nno colon\r\n\r\n".into(), 400, "bad_trailer"),
        (format!("0\r\n{trailer}\r\n"), 400, "bad_trailer"),
    ];
    for (body, status, kind) in cases {
        let head = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
        let input = format!("{head}{body}{SMUGGLED}");
        let seen = support::run(refusal(input.into_bytes()));
        assert_eq!(seen, (status, kind.to_owned()), "{:?}", &body[..body.len().min(40)]);
    }
}

#[test]
fn requests_over_the_limits_are_refused() {
    let large = "x".repeat(1_000_000);
    let cases: [(String, u16, &str); 6] = [
        (format!("GET / HTTP/1.1\r\nhost: h\r\nx: {large}\r\n\r\n"), 431, "head_too_large"),
        (format!("GET /{large} HTTP/1.1\r\nhost: h\r\n\r\n"), 414, "uri_too_long"),
        (
            format!("GET / HTTP/1.1\r\nhost: h\r\n{}\r\n", "x: 1\r\n".repeat(150)),
            431,
            "too_many_headers",
        ),
        (
            format!("GET / HTTP/1.1\r\nhost: h\r\n{}\r\n", "x: 1\r\n".repeat(16)),
            431,
            "too_many_headers",
        ),
        (
            format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1000000\r\n\r\n{large}"),
            413,
            "body_too_large",
        ),
        (
            "POST / HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\n\
             content-length: 1000000\r\n\r\n"
                .into(),
            413,
            "body_too_large",
        ),
    ];
    for (input, status, kind) in cases {
        let shown = input[..input.len().min(40)].to_owned();
        let seen = support::run(refusal(input.into_bytes()));
        assert_eq!(seen, (status, kind.to_owned()), "{shown:?}");
    }
}

#[test]
fn silent_senders_are_refused() {
    let cases = [
        ("G", "head_timeout"),
        ("GET / HTTP/1.1\r\nhost: h\r\n", "head_timeout"),
        ("\r\n", "head_timeout"),
        ("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nabc", "body_timeout"),
        ("POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab", "body_timeout"),
        ("POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "body_timeout"),
    ];
    let limits = support::limits()
        .head_timeout(time::Duration::from_millis(50))
        .body_progress_timeout(time::Duration::from_millis(50));
    for (input, kind) in cases {
        let seen = support::run(refusal_within(limits.clone(), input.into()));
        assert_eq!(seen, (408, kind.to_owned()), "{input:?}");
    }
}

#[test]
fn trickling_senders_are_refused() {
    let endless = "x".repeat(400);
    let cases = [
        (format!("GET / HTTP/1.1\r\nhost: h\r\nx: {endless}"), "head_timeout"),
        (
            format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 400\r\n\r\n{endless}"),
            "body_timeout",
        ),
    ];
    for (input, kind) in cases {
        support::run(async {
            let limits = support::limits()
                .head_timeout(time::Duration::from_millis(100))
                .body_progress_timeout(time::Duration::from_millis(100));
            let service = Service::echo(limits);
            let mut peer = Peer::connect(service.addr).await;
            let (head, rest) = input.split_at(input.find('x').expect("rest"));
            peer.write(head).await;
            for byte in rest.bytes() {
                peer.write([byte]).await;
                monoio::time::sleep(time::Duration::from_millis(1)).await;
            }
            peer.finish().await;
            let responses = support::parse_responses(&peer.read_to_end().await);
            assert_eq!((responses[0].status, responses[0].kind()), (408, Some(kind)));
        });
    }
}

#[test]
fn messages_cut_short_are_refused() {
    let cases = [
        ("GET / HTTP/1.1\r\nhost", "head_cut_short"),
        ("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nabc", "body_cut_short"),
        (
            "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n3\r\nab",
            "body_cut_short",
        ),
    ];
    for (input, kind) in cases {
        support::run(async {
            let service = Service::echo(support::limits());
            let mut peer = Peer::connect(service.addr).await;
            peer.write(input).await;
            peer.finish().await;
            let responses = support::parse_responses(&peer.read_to_end().await);
            assert_eq!(responses.len(), 1, "{input:?}");
            assert_eq!(responses[0].status, 400, "{input:?}");
            assert_eq!(responses[0].kind(), Some(kind), "{input:?}");
        });
    }
}
