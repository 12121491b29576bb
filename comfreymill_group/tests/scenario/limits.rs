use crate::scenario::group;
use crate::schedule::world::World;
use bytes::Bytes;
use comfreymill_group::{message, replica};
use comfreymill_types::time;
use std::time::Duration;

fn propose(
    world: &mut World,
    leader: usize,
    data: Vec<Bytes>,
) -> Result<replica::Proposed, replica::ProposeError> {
    let clock = world.nodes[leader].clock(world.now);
    world.nodes[leader].replica.as_mut().expect("running").propose(clock, data)
}

#[test]
fn commands_beyond_the_limits_are_refused() {
    let (mut world, leader) = group::started(1, 3);
    assert_eq!(propose(&mut world, leader, Vec::new()), Err(replica::ProposeError::Empty));
    let bytes = replica::Replica::MAX_COMMAND_BYTES + 1;
    let result = propose(&mut world, leader, vec![Bytes::from(vec![0; bytes])]);
    assert!(matches!(result, Err(replica::ProposeError::TooLong { .. })), "{result:?}");
    let large = vec![Bytes::from(vec![0; 2 * 1024 * 1024]); 8];
    propose(&mut world, leader, large.clone()).expect("up to the limit");
    assert_eq!(propose(&mut world, leader, large), Err(replica::ProposeError::Busy));
}

#[test]
fn bytes_in_flight_to_a_silent_follower_are_bounded() {
    let (mut world, leader) = group::started(2, 3);
    group::pass(&mut world, 500);
    let silent = world.nodes[(leader + 1) % 3].voter;
    let clock = world.nodes[leader].clock(world.now);
    let replica = world.nodes[leader].replica.as_mut().expect("running");
    let mut sent_bytes = 0;
    for _ in 0..200 {
        replica.propose(clock, vec![Bytes::from(vec![0; 100])]).expect("leads");
        for action in replica.take_actions() {
            if let replica::Action::Send { to, message } = action {
                let is_append = matches!(message.body, Some(message::Body::Append(_)));
                sent_bytes += if to == silent && is_append { message.to_bytes().len() } else { 0 };
            }
        }
    }
    assert!(sent_bytes > 0 && sent_bytes < 2_000, "{sent_bytes} bytes in flight");
}

#[test]
fn a_message_is_no_longer_than_the_limit() {
    let (mut world, leader) = group::started(3, 3);
    let clock = world.nodes[leader].clock(world.now);
    let replica = world.nodes[leader].replica.as_mut().expect("running");
    let bytes = replica::Replica::MAX_COMMAND_BYTES;
    replica.propose(clock, vec![Bytes::from(vec![0; bytes]); 3]).expect("leads");
    let mut longest = 0;
    for action in replica.take_actions() {
        if let replica::Action::Send { message, .. } = action {
            longest = longest.max(message.to_bytes().len());
        }
    }
    assert!(longest > bytes && longest < message::MAX_MESSAGE_BYTES, "{longest} bytes");
}

#[test]
fn settings_that_contradict_each_other_are_refused() {
    let start = || replica::Start::Join { peers: Vec::new() };
    let millis = Duration::from_millis;
    let config = || replica::Config::new(start());
    let cases = [
        (config(), None),
        (
            config().election_timeout(millis(300), millis(300)),
            Some(replica::ConfigError::ElectionTimeout),
        ),
        (config().heartbeat(millis(150)), Some(replica::ConfigError::Heartbeat)),
        (config().heartbeat(Duration::ZERO), Some(replica::ConfigError::Heartbeat)),
        (config().clock_drift_ppm(500_000), Some(replica::ConfigError::ClockDrift)),
        (config().max_append_bytes(0), Some(replica::ConfigError::Limits)),
        (config().snapshot_chunk_bytes(2_000_000), Some(replica::ConfigError::Limits)),
    ];
    for (cfg, expected) in cases {
        assert_eq!(cfg.validate().err(), expected, "{cfg:?}");
    }
}

#[test]
fn a_lease_ends_before_the_shortest_election_timeout_under_the_worst_drift() {
    for ppm in [0, 500, 10_000, 200_000] {
        let cfg =
            replica::Config::new(replica::Start::Join { peers: Vec::new() }).clock_drift_ppm(ppm);
        let (slow, fast) = (1.0 - f64::from(ppm) / 1e6, 1.0 + f64::from(ppm) / 1e6);
        let lease_real = cfg.get_lease().as_secs_f64() / slow;
        let timeout_real = cfg.get_election_timeout_min().as_secs_f64() / fast;
        assert!(lease_real <= timeout_real + 1e-9, "{ppm} ppm");
    }
}

#[test]
fn a_group_is_founded_at_clock_zero() {
    let start = replica::Start::Found { voters: vec![comfreymill_group::id::VoterId::new(1)] };
    let recovered = replica::Recovered {
        voter: comfreymill_group::id::VoterId::new(1),
        disk: comfreymill_group::id::DiskId::new(5),
        ..replica::Recovered::default()
    };
    let cfg = replica::Config::new(start);
    let mut replica = replica::Replica::new(cfg, recovered, 1, time::Monotonic::ZERO);
    for millis in 0..10 {
        let now = time::Monotonic::from_millis(millis);
        replica.tick(now);
        for action in replica.take_actions() {
            if let replica::Action::Persist(write) = action {
                replica.persisted(now, write.sequence);
            }
        }
    }
    assert!(replica.is_ready() && replica.lease_valid(time::Monotonic::from_millis(10)));
}

#[test]
fn commands_proposed_together_are_sent_in_one_append() {
    let (mut world, leader) = group::started(4, 3);
    group::pass(&mut world, 500);
    let clock = world.nodes[leader].clock(world.now);
    let replica = world.nodes[leader].replica.as_mut().expect("running");
    for _ in 0..5 {
        replica.propose(clock, vec![Bytes::from_static(b"12345678")]).expect("leads");
    }
    let actions = replica.take_actions();
    let appends = actions.iter().filter(|action| match action {
        replica::Action::Send { message, .. } => {
            let body = &message.body;
            matches!(body, Some(message::Body::Append(append)) if append.entries.len() == 5)
        }
        _ => false,
    });
    assert_eq!(appends.count(), 2, "{actions:?}");
    let writes = actions.iter().filter(|action| matches!(action, replica::Action::Persist(_)));
    assert_eq!(writes.count(), 1);
}
