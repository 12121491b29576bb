use std::{rc, time};

use comfreymill_http::limits;
use futures_util::future;
use quickcheck::{Arbitrary as _, Gen};

use crate::support::{self, Edits, Peer, Pipeline, Service, parse_responses};

const SEED: u64 = 11;
const CASES: usize = 4000;
const CONCURRENT: usize = 200;
const SHORT_TIMEOUT: time::Duration = time::Duration::from_millis(40);

/// Returns limits with short timeouts, so that the server always closes first; `TIME_WAIT` then
/// occupies only its own port and no ephemeral port of a client.
fn short_timeouts() -> limits::Limits {
    support::limits().head_timeout(SHORT_TIMEOUT).body_progress_timeout(SHORT_TIMEOUT)
}

/// Sends one message and checks that every response is well-formed and final; returns whether one
/// of them is a refusal.
async fn is_refused(service: rc::Rc<Service>, wire: Vec<u8>) -> bool {
    let shown = String::from_utf8_lossy(&wire).into_owned();
    let responses = Peer::exchange(service.addr, wire).await;
    for response in &responses {
        let is_final = matches!(response.status / 100, 2 | 4 | 5);
        assert!(is_final, "{shown:?} gave {response:?}");
        assert_eq!(
            response.status != 200,
            response.kind().is_some(),
            "{shown:?} gave {response:?}"
        );
    }
    responses.iter().any(|response| response.status != 200)
}

/// Sends the messages, [`CONCURRENT`] at a time, and returns how many were refused.
async fn count_refused(service: &rc::Rc<Service>, messages: &[Vec<u8>]) -> usize {
    let mut refused = 0;
    for batch in messages.chunks(CONCURRENT) {
        let batch = batch.iter().map(|wire| is_refused(rc::Rc::clone(service), wire.clone()));
        let outcomes = future::join_all(batch).await;
        refused += outcomes.into_iter().filter(|&is_refused| is_refused).count();
    }
    refused
}

/// Repeats a valid request until it is answered, since one may time out on a slow machine.
async fn wait_for_response(service: &Service) {
    let good = "GET /good HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
    support::with_timeout(async {
        loop {
            let responses = parse_responses(&raw(service, good).await);
            if responses.iter().any(|response| response.header("x-target") == Some("/good")) {
                return;
            }
        }
    })
    .await;
}

async fn raw(service: &Service, request: &str) -> Vec<u8> {
    let mut peer = Peer::connect(service.addr).await;
    peer.write(request).await;
    peer.read_to_end().await
}

#[test]
fn mutated_requests_are_answered_or_closed_and_the_server_keeps_serving() {
    support::run(async {
        let service = rc::Rc::new(Service::echo(short_timeouts().idle_timeout(SHORT_TIMEOUT)));
        let mut g = Gen::from_size_and_seed(100, SEED);
        let mut change = || {
            let wire = Pipeline::arbitrary(&mut g).to_wire();
            Edits::arbitrary(&mut g).apply(wire)
        };
        let messages = (0..CASES).map(|_| change()).collect::<Vec<_>>();
        let refused = count_refused(&service, &messages).await;
        assert!(refused > CASES / 10, "only {refused} mutated messages were refused");
        wait_for_response(&service).await;
    });
}

#[test]
fn random_bytes_are_refused_and_the_server_keeps_serving() {
    support::run(async {
        let service = rc::Rc::new(Service::echo(short_timeouts()));
        let mut g = Gen::from_size_and_seed(100, SEED);
        let mut noise = || {
            let length = 1 + usize::arbitrary(&mut g) % 300;
            (0..length).map(|_| u8::arbitrary(&mut g)).collect::<Vec<_>>()
        };
        let messages = (0..CASES / 4).map(|_| noise()).collect::<Vec<_>>();
        let refused = count_refused(&service, &messages).await;
        assert_eq!(refused, messages.len());
        wait_for_response(&service).await;
    });
}
