use bytes::Bytes;
use comfreymill_http::client;
use futures_util::future;
use quickcheck::{Arbitrary as _, Gen, QuickCheck};

use crate::support::{self, Body, Edits, Upstream, head, open};

const SEED: u64 = 7;
const CASES: u64 = 15;

async fn fetch(upstream: &Upstream, wire: &[u8]) -> Result<Bytes, client::ClientError> {
    let exchange = async {
        let mut conn = open(upstream.addr).await;
        let head = head("GET");
        conn.send(&head, Bytes::new()).await?.collect(u64::MAX).await
    };
    future::join(exchange, upstream.respond(wire)).await.0
}

#[test]
fn response_cut_at_any_byte_is_never_read_as_complete() {
    fn property(body: Body) -> bool {
        let mut wire = b"HTTP/1.1 200 OK\r\nx-a: b\r\n".to_vec();
        wire.extend_from_slice(&body.to_wire());
        support::run(async {
            let upstream = Upstream::bind();
            for end in 0..wire.len() {
                if fetch(&upstream, &wire[..end]).await.is_ok() {
                    return false;
                }
            }
            fetch(&upstream, &wire).await == Ok(Bytes::from(body.data))
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(CASES)
        .quickcheck(property as fn(Body) -> bool);
}

#[test]
fn mutated_responses_are_read_or_refused() {
    support::run(async {
        let upstream = Upstream::bind();
        let mut g = Gen::from_size_and_seed(100, SEED);
        let mut refused = 0;
        for _ in 0..2000 {
            let mut wire = b"HTTP/1.1 200 OK\r\nx-a: b\r\n".to_vec();
            wire.extend_from_slice(&Body::arbitrary(&mut g).to_wire());
            let wire = Edits::arbitrary(&mut g).apply(wire);
            match fetch(&upstream, &wire).await {
                Ok(body) => assert!(body.len() <= wire.len(), "{body:?}"),
                Err(err) => {
                    assert_eq!(err.sent, client::Sent::Some);
                    refused += 1;
                }
            }
        }
        assert!(refused > 200, "only {refused} mutated responses were refused");
    });
}
