use std::time;

use bytes::Bytes;
use comfreymill_http::{body, client, server};
use futures_util::future;
use http::{HeaderMap, StatusCode};

use crate::support::{self, Peer, Service, Upstream, head, open, open_with};

/// Streams a request to an upstream and the upstream's response back.
async fn pass_on(
    mut req: server::Request<'_>,
    upstream: std::net::SocketAddr,
) -> Result<(), server::ServerError> {
    let mut conn = open(upstream).await;
    let head = req.head().clone();
    let mut response = conn.send(&head, &mut req).await.expect("response");
    let headers = response.take_headers();
    let mut writer =
        req.start_response(response.status(), &headers, response.body_length()).await?;
    while let Some(data) = response.chunk().await.expect("whole") {
        writer.chunk(data).await?;
    }
    writer.finish().await
}

#[test]
fn bodies_pass_through_in_both_framings() {
    let data = "0123456789".repeat(5000);
    let chunked = format!("{:x}\r\n{data}\r\n0\r\n\r\n", data.len());
    let cases = [
        format!("content-length: {}\r\n\r\n{data}", data.len()),
        format!("transfer-encoding: chunked\r\n\r\n{chunked}"),
        "\r\n".to_owned(),
    ];
    for (index, rest) in cases.iter().enumerate() {
        let responses = support::run(async {
            let upstream = Service::echo(support::limits()).addr;
            let service =
                Service::start(support::limits(), async move |req: server::Request<'_>| {
                    pass_on(req, upstream).await
                });
            let input = format!("POST /x HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{rest}");
            Peer::exchange(service.addr, input).await
        });
        assert_eq!(responses.len(), 1, "case {index}");
        assert_eq!(responses[0].header("x-target"), Some("/x"));
        let wanted = if rest.len() > 2 { data.as_bytes() } else { b"" };
        assert_eq!(responses[0].body, wanted, "case {index}");
    }
}

/// A source whose stated length and pieces need not agree; the pieces are taken from the end.
struct ScriptedSource {
    stated: Option<u64>,
    pieces: Vec<Result<Bytes, body::BodyError>>,
}

impl body::Source for ScriptedSource {
    fn length(&self) -> Option<u64> {
        self.stated
    }

    async fn chunk(&mut self) -> Result<Option<Bytes>, body::BodyError> {
        self.pieces.pop().transpose()
    }
}

#[test]
fn faulty_source_never_completes_the_request() {
    use body::BodyError::{CutShort, WrongLength};
    let cases = [
        (Some(2), vec![Ok(Bytes::from("abc"))], WrongLength, client::Sent::Nothing),
        (Some(4), vec![Ok(Bytes::from("abc"))], WrongLength, client::Sent::Some),
        (None, vec![Err(CutShort), Ok(Bytes::from("abc"))], CutShort, client::Sent::Some),
        (None, vec![Err(CutShort)], CutShort, client::Sent::Nothing),
    ];
    for (stated, pieces, err, sent) in cases {
        support::run(async {
            let upstream = Upstream::bind();
            let mut conn = open(upstream.addr).await;
            let mut peer = upstream.accept().await;
            let head = head("POST");
            let error =
                conn.send(&head, ScriptedSource { stated, pieces }).await.expect_err("source");
            let wanted = client::ClientError { kind: client::ClientErrorKind::Source(err), sent };
            assert_eq!(error, wanted);
            assert!(!conn.is_reusable() || sent == client::Sent::Nothing);
            drop(conn);
            let seen = String::from_utf8(peer.read_to_end().await).expect("text");
            assert_eq!(seen.is_empty(), sent == client::Sent::Nothing, "{seen:?}");
            assert!(!seen.ends_with("0\r\n\r\n"), "{seen:?}");
        });
    }
}

#[test]
fn early_answer_of_a_peer_that_closes_is_read() {
    support::run(async {
        let service = Service::echo(support::limits().max_body_bytes(10));
        let mut conn = open(service.addr).await;
        let head = head("POST");
        let body = Bytes::from(vec![b'x'; 8 * 1024 * 1024]);
        let mut response = conn.send(&head, body).await.expect("refusal");
        assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
        let body = response.collect(1000).await.expect("body");
        assert!(body.starts_with(b"{\"kind\":\"body_too_large\""), "{body:?}");
        assert!(!conn.is_reusable());
    });
}

#[test]
fn early_answer_of_a_peer_that_reads_no_further_is_read() {
    support::run(async {
        let upstream = Upstream::bind();
        let limits = support::limits().write_timeout(time::Duration::from_millis(500));
        let mut conn = open_with(upstream.addr, limits).await;
        let mut peer = upstream.accept().await;
        let head = head("POST");
        let body = Bytes::from(vec![b'x'; 64 * 1024 * 1024]);
        // A response that arrives before the request would make the connection stale.
        let reply = async {
            peer.read().await;
            peer.write("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n").await;
        };
        let (response, ()) = future::join(conn.send(&head, body), reply).await;
        assert_eq!(response.expect("response").status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(!conn.is_reusable());
    });
}

#[test]
fn dropped_send_says_whether_any_byte_was_written() {
    support::run(async {
        let upstream = Upstream::bind();
        let mut conn = open(upstream.addr).await;
        let head = head("GET");
        drop(conn.send(&head, Bytes::new()));
        assert_eq!(conn.sent(), client::Sent::Nothing);
        assert!(
            conn.is_reusable(),
            "a request that was never started made the connection unusable"
        );

        let short = time::Duration::from_millis(20);
        let silent = monoio::time::timeout(short, conn.send(&head, Bytes::new())).await;
        assert!(silent.is_err(), "the upstream responded");
        assert_eq!(conn.sent(), client::Sent::Some);
        assert!(
            !conn.is_reusable(),
            "the connection is reusable while the response is outstanding"
        );
    });
}

#[test]
fn silent_upstreams_time_out() {
    let limits = support::limits()
        .response_timeout(time::Duration::from_millis(30))
        .head_timeout(time::Duration::from_millis(30))
        .body_progress_timeout(time::Duration::from_millis(30));
    let cases = [
        ("", client::ClientErrorKind::ResponseTimeout),
        ("HTTP/1.1 200 OK\r\ncontent", client::ClientErrorKind::ResponseTimeout),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc",
            client::ClientErrorKind::Body(body::BodyError::TimedOut),
        ),
    ];
    for (response, kind) in cases {
        support::run(async {
            let upstream = Upstream::bind();
            let mut conn = open_with(upstream.addr, limits.clone()).await;
            let mut peer = upstream.accept().await;
            let reply = async {
                peer.read_until(b"\r\n\r\n").await;
                peer.write(response).await;
            };
            let head = head("GET");
            let fetch = async { conn.send(&head, Bytes::new()).await?.collect(100).await };
            let (res, ()) = future::join(fetch, reply).await;
            assert_eq!(res, Err(client::ClientError { kind, sent: client::Sent::Some }));
        });
    }
}

#[test]
fn response_dropped_before_its_end_makes_the_connection_unusable() {
    support::run(async {
        let service = Service::start(support::limits(), async |req: server::Request<'_>| {
            let body = Bytes::from(vec![b'x'; 60_000]);
            req.respond(StatusCode::OK, &HeaderMap::new(), body).await
        });
        let mut conn = open(service.addr).await;
        let head = head("GET");
        conn.send(&head, Bytes::new()).await.expect("first").chunk().await.expect("some");
        assert!(!conn.is_reusable());
        let err = conn.send(&head, Bytes::new()).await.expect_err("busy");
        assert_eq!(
            err,
            client::ClientError {
                kind: client::ClientErrorKind::Busy,
                sent: client::Sent::Nothing
            }
        );
    });
}

#[test]
fn host_and_target_reach_the_upstream() {
    support::run(async {
        let upstream = Upstream::bind();
        let addr = upstream.addr;
        let mut conn = open(addr).await;
        let mut peer = upstream.accept().await;
        let req = http::Request::builder()
            .uri("http://elsewhere/a?b=c")
            .header("connection", "keep-alive")
            .header("content-length", "77")
            .header("x-a", "b");
        let head = req.body(()).expect("request").into_parts().0;
        monoio::spawn(async move {
            let _ = conn.send(&head, Bytes::from("xyz")).await;
        });
        let seen = String::from_utf8(peer.read_until(b"xyz").await).expect("text");
        assert_eq!(
            seen,
            format!(
                "GET /a?b=c HTTP/1.1\r\nhost: {addr}\r\nx-a: b\r\ncontent-length: 3\r\n\r\nxyz"
            )
        );
    });
}
