use quickcheck::{Gen, QuickCheck};

use crate::support::{self, Peer, Pipeline, Service, yield_to_tasks};

const SEED: u64 = 3;
const CASES: u64 = 12;

#[test]
fn requests_split_at_every_byte_are_answered_whole_and_in_order() {
    fn property(pipeline: Pipeline) -> bool {
        support::run(async {
            let service = Service::echo(support::limits());
            let wire = pipeline.to_wire();
            let wanted = pipeline.bodies.into_iter().map(|body| body.data).collect::<Vec<_>>();
            let mut peer = Peer::connect(service.addr).await;
            for position in 0..=wire.len() {
                peer.write(&wire[..position]).await;
                yield_to_tasks().await;
                peer.write(&wire[position..]).await;
                if peer.read_bodies(wanted.len()).await != wanted {
                    return false;
                }
            }
            true
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(CASES)
        .quickcheck(property as fn(Pipeline) -> bool);
}

#[test]
fn request_that_comes_byte_by_byte_is_answered() {
    support::run(async {
        let service = Service::echo(support::limits());
        let mut peer = Peer::connect(service.addr).await;
        let input = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n\
                     2\r\nab\r\n1\r\nc\r\n0\r\nx: y\r\n\r\n";
        for byte in input.bytes() {
            peer.write([byte]).await;
            yield_to_tasks().await;
        }
        assert_eq!(peer.read_bodies(1).await, [b"abc"]);
    });
}
