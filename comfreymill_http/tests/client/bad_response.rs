use bytes::Bytes;
use comfreymill_http::{body::BodyError, client, head::HeadError};
use futures_util::future;

use crate::support::{self, Upstream, head, open};

async fn fetch(method: &str, response: &str) -> Result<(u16, Bytes, bool), client::ClientError> {
    let upstream = Upstream::bind();
    let exchange = async {
        let mut conn = open(upstream.addr).await;
        let head = head(method);
        let (status, body) = {
            let mut response = conn.send(&head, Bytes::new()).await?;
            let body = response.collect(u64::MAX).await?;
            assert!(response.is_complete(), "a collected response is incomplete");
            (response.status().as_u16(), body)
        };
        Ok((status, body, conn.is_reusable()))
    };
    future::join(exchange, upstream.respond(response)).await.0
}

#[test]
fn valid_responses_are_read_whole() {
    let cases = [
        ("GET", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", 200, "abc", true),
        ("GET", "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", 200, "", true),
        ("GET", "HTTP/1.1 200\r\ncontent-length: 0\r\n\r\n", 200, "", true),
        (
            "GET",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            200,
            "abc",
            true,
        ),
        (
            "GET",
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1\r\n\r\na",
            200,
            "a",
            false,
        ),
        ("GET", "HTTP/1.0 200 OK\r\ncontent-length: 1\r\n\r\na", 200, "a", false),
        (
            "GET",
            "HTTP/1.0 200 OK\r\nconnection: Keep-Alive\r\ncontent-length: 1\r\n\r\na",
            200,
            "a",
            true,
        ),
        (
            "GET",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n\
             HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na",
            200,
            "a",
            true,
        ),
        ("HEAD", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n", 200, "", true),
        ("GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", true),
        ("GET", "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n", 304, "", true),
        ("GET", "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naEXTRA", 200, "a", false),
    ];
    for (method, response, status, body, is_reusable) in cases {
        let seen = support::run(fetch(method, response));
        assert_eq!(seen, Ok((status, Bytes::from(body), is_reusable)), "{response:?}");
    }
}

#[test]
fn faulty_responses_are_errors() {
    use client::ClientErrorKind::{Body, Closed, Head};
    let large = format!("HTTP/1.1 200 OK\r\nx: {}\r\n\r\n", "x".repeat(10_000));
    let many = format!("HTTP/1.1 200 OK\r\n{}\r\n", "x: 1\r\n".repeat(200));
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(20);
    let long_chunk = format!("@@@chunked\r\n\r\nffffff\r\n{}", "x".repeat(70_000));
    let cases = [
        ("", Closed),
        ("HTTP/1.1 2", Head(HeadError::CutShort)),
        ("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab", Body(BodyError::CutShort)),
        ("@@@chunked\r\n\r\n3\r\nab", Body(BodyError::CutShort)),
        ("@@@chunked\r\n\r\n3\r\nabc\r\n", Body(BodyError::CutShort)),
        ("@@@chunked\r\n\r\n3\r\nabc\r\n0\r\n", Body(BodyError::CutShort)),
        ("@@@chunked\r\n\r\n3\r\nabc\r\n\r\n\r\n", Body(BodyError::BadChunk)),
        ("@@@chunked\r\n\r\nxyz\r\n", Body(BodyError::BadChunk)),
        ("@@@chunked\r\n\r\n0\r\nbad trailer\r\n\r\n", Body(BodyError::BadTrailer)),
        ("HTTP/1.1 200 OK\r\n@: 3\r\n@: 4\r\n\r\nabc", Head(HeadError::Length)),
        ("HTTP/1.1 200 OK\r\n@: 3\r\n@: 3\r\n\r\nabc", Head(HeadError::Length)),
        ("HTTP/1.1 200 OK\r\n@: -3\r\n\r\nabc", Head(HeadError::Length)),
        ("@@@chunked\r\n@: 3\r\n\r\n0\r\n\r\n", Head(HeadError::LengthAndTransferEncoding)),
        ("@@@gzip, chunked\r\n\r\n0\r\n\r\n", Head(HeadError::TransferCoding)),
        ("HTTP/1.1 200 OK\r\n\r\nno end", Head(HeadError::Undelimited)),
        ("HTTP/1.1 101 Switching Protocols\r\n\r\n", Head(HeadError::Upgrade)),
        ("HTTP/1.1 200 OK\n\n", Head(HeadError::LineEnding)),
        ("HTTP/1.1 200 OK\r\nx: a\0\r\n\r\n", Head(HeadError::Nul)),
        ("HTTP/1.1 2000 OK\r\n\r\n", Head(HeadError::Malformed)),
        ("HTTP/3.0 200 OK\r\n\r\n", Head(HeadError::Version)),
        ("\u{1}\u{2} garbage\r\n\r\n", Head(HeadError::Malformed)),
        ("HTTP/1.1 200 OK\r\n@: 99999\r\n\r\n", Body(BodyError::TooLarge)),
        (&large, Head(HeadError::TooLarge)),
        (&many, Head(HeadError::TooManyHeaders)),
        (&interim, Head(HeadError::TooManyInterim)),
        (&long_chunk, Body(BodyError::TooLarge)),
    ];
    for (response, kind) in cases {
        let response = response
            .replace("@@@", "HTTP/1.1 200 OK\r\ntransfer-encoding: ")
            .replace('@', "content-length");
        let err = support::run(fetch("GET", &response)).expect_err(&response);
        assert_eq!(err, client::ClientError { kind, sent: client::Sent::Some }, "{response:?}");
    }
}
