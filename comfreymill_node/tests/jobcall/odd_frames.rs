//! Calls from other processes that cannot be read are refused, without a panic or a huge allocation.

use comfreymill_jobs::id::{WorkerName, ZoneName};
use comfreymill_jobs::job::{JobSpec, StepSpec};
use comfreymill_jobs::state::ZoneOrder;
use comfreymill_jobs::worker::{Announcement, Departure, Resources};
use comfreymill_node::jobcall::{Call, Reply, decode, encode};

/// Varint of the largest length.
const HUGE_LENGTH: [u8; 10] = [0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01];

fn calls() -> Vec<Call> {
    let spec = JobSpec {
        payload: "work".to_owned(),
        steps: vec![StepSpec { count: 3, depends_on: vec![0], ..StepSpec::default() }],
        schedule: None,
    };
    let announcement = Announcement {
        name: WorkerName::new("w"),
        born_unix_ms: u64::MAX,
        sequence: u64::MAX,
        address: "10.0.0.1:80".parse().expect("an address"),
        pool: "workers".to_owned(),
        zone: "south".to_owned(),
        capacity: Resources { cpu_milli: u32::MAX, mem_mb: 0, gpus: 0 },
        labels: vec!["a".to_owned()],
        leaving_in: Some(std::time::Duration::MAX),
        clock_ms: Some(u64::MAX),
        machine: None,
    };
    let zone: ZoneName = "south".parse().expect("a name");
    let order = ZoneOrder { zone, operator: "ines".to_owned(), unix_ms: u64::MAX, revision: 0 };
    vec![
        Call::Submit { host: "h".to_owned(), path: "/p".to_owned(), spec: Box::new(spec) },
        Call::Announce(Box::new(announcement)),
        Call::Depart(Departure { name: WorkerName::new("w") }),
        Call::Evacuate(Box::new(order)),
    ]
}

#[test]
fn a_damaged_call_is_read_or_refused() {
    for call in calls() {
        let valid = encode(&call);
        assert_eq!(decode::<Call>(&valid).expect("a valid call"), call);
        for position in 0..valid.len() {
            assert!(decode::<Call>(&valid[..position]).is_err(), "{call:?} cut off at {position}");
            let huge = [&valid[..position], &HUGE_LENGTH, &valid[position..]].concat();
            let _ = (decode::<Call>(&huge), decode::<Reply>(&huge));
            for byte in [0, 1, 0x7f, 0x80, 0xff] {
                let mut other = valid.to_vec();
                other[position] = byte;
                let _ = (decode::<Call>(&other), decode::<Reply>(&other));
            }
        }
    }
}
