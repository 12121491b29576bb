use comfreymill_http::server;

use crate::support::{self, Peer, Service, parse_responses, yield_to_tasks};

async fn bodies(input: &str) -> Vec<String> {
    let service = Service::echo(support::limits());
    let mut peer = Peer::connect(service.addr).await;
    peer.write(input).await;
    peer.finish().await;
    let responses = parse_responses(&peer.read_to_end().await);
    responses
        .iter()
        .map(|response| {
            let body = String::from_utf8_lossy(&response.body);
            format!(
                "{} {} {body}",
                response.status,
                response.header("x-target").unwrap_or_default()
            )
        })
        .collect()
}

#[test]
fn valid_requests_are_answered_whole_and_in_order() {
    let cases: [(&str, &[&str]); 9] = [
        ("GET /a HTTP/1.1\r\nhost: h\r\n\r\n", &["200 /a "]),
        ("\r\nGET /a HTTP/1.1\r\nhost: h\r\n\r\n", &["200 /a "]),
        ("POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nabc", &["200 /b abc"]),
        (
            "POST /c HTTP/1.1\r\nhost: h\r\ntransfer-encoding: Chunked\r\n\r\n\
             3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n",
            &["200 /c abc0123456789"],
        ),
        (
            "POST /t HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n\
             1\r\na\r\n0\r\nx-trailer: v\r\n\r\nGET /n HTTP/1.1\r\nhost: h\r\n\r\n",
            &["200 /t a", "200 /n "],
        ),
        ("GET /d HTTP/1.0\r\n\r\nGET /e HTTP/1.0\r\n\r\n", &["200 /d "]),
        (
            "GET /f HTTP/1.0\r\nconnection: keep-alive\r\n\r\nGET /g HTTP/1.0\r\n\r\n",
            &["200 /f ", "200 /g "],
        ),
        (
            "GET /1 HTTP/1.1\r\nhost: h\r\n\r\n\
             POST /2 HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nxy\
             GET /3 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n\
             GET /4 HTTP/1.1\r\nhost: h\r\n\r\n",
            &["200 /1 ", "200 /2 xy", "200 /3 "],
        ),
        (
            "POST /h HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\nz",
            &["200 /h z"],
        ),
    ];
    for (input, wanted) in cases {
        let seen = support::run(bodies(input));
        assert_eq!(seen, wanted, "{input:?}");
    }
}

#[test]
fn sender_that_expects_continue_receives_it_once() {
    support::run(async {
        let service = Service::start(support::limits(), async |mut req: server::Request<'_>| {
            let mut body = Vec::new();
            while let Some(data) = req.chunk().await? {
                body.extend_from_slice(&data);
            }
            req.respond(http::StatusCode::OK, &http::HeaderMap::new(), body.into()).await
        });
        let mut peer = Peer::connect(service.addr).await;
        peer.write(
            "POST / HTTP/1.1\r\nhost: h\r\nexpect: 100-Continue\r\ncontent-length: 2\r\n\r\n",
        )
        .await;
        let interim = peer.read_until(b"\r\n\r\n").await;
        assert_eq!(interim, b"HTTP/1.1 100 Continue\r\n\r\n");
        for byte in [b"o", b"k"] {
            peer.write(*byte).await;
            yield_to_tasks().await;
        }
        peer.finish().await;
        let responses = parse_responses(&peer.read_to_end().await);
        assert_eq!(responses.len(), 1);
        assert_eq!((responses[0].status, responses[0].body.as_slice()), (200, b"ok".as_slice()));
    });
}
