use quickcheck::{Arbitrary as _, Gen};

use crate::support::{self, Edits, Peer, Pipeline, Service, parse_answers};

const SEED: u64 = 11;
const CASES: usize = 4000;

/// Sends one changed message, and checks that each answer is well-formed and final.
async fn check(service: &Service, wire: &[u8]) -> usize {
    let mut peer = Peer::connect(service.addr).await;
    peer.write(wire).await;
    peer.finish().await;
    let answers = parse_answers(&peer.read_to_end().await);
    for answer in &answers {
        let is_final = matches!(answer.status / 100, 2 | 4 | 5);
        assert!(is_final, "{:?} gave {answer:?}", String::from_utf8_lossy(wire));
        let is_refusal = answer.status != 200;
        assert_eq!(is_refusal, answer.kind().is_some(), "{answer:?}");
    }
    answers.iter().filter(|answer| answer.status != 200).count()
}

#[test]
fn changed_requests_are_answered_or_closed_and_the_server_lives_on() {
    support::run(async {
        let service = Service::echo(support::limits());
        let mut g = Gen::from_size_and_seed(100, SEED);
        let mut refused = 0;
        for _ in 0..CASES {
            let wire = Pipeline::arbitrary(&mut g).to_wire();
            let wire = Edits::arbitrary(&mut g).apply(wire);
            refused += check(&service, &wire).await;
        }
        assert!(refused > CASES / 10, "only {refused} changes mattered");
        let good = "GET /good HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let answers = Peer::exchange(service.addr, good).await;
        assert_eq!(answers[0].header("x-target"), Some("/good"));
    });
}

#[test]
fn random_bytes_are_refused_or_closed() {
    support::run(async {
        let service = Service::echo(support::limits());
        let mut g = Gen::from_size_and_seed(100, SEED);
        for _ in 0..CASES / 4 {
            let length = usize::arbitrary(&mut g) % 300;
            let wire = (0..length).map(|_| u8::arbitrary(&mut g)).collect::<Vec<_>>();
            check(&service, &wire).await;
        }
        let good = "GET /good HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let answers = Peer::exchange(service.addr, good).await;
        assert_eq!(answers[0].status, 200);
    });
}
