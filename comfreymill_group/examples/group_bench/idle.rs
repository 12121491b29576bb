use comfreymill_group::{id, replica};
use comfreymill_types::time;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Write};

const SECONDS: u64 = 60;

/// Measures the message bytes that an idle group sends, without transport headers.
pub(crate) fn measure_traffic<W>(out: &mut W) -> io::Result<()>
where
    W: Write,
{
    for count in [3, 5] {
        let voters: Vec<_> = (1..=count).map(id::VoterId::new).collect();
        let mut replicas: BTreeMap<_, _> =
            voters.iter().map(|voter| (*voter, start(*voter, &voters))).collect();
        run(&mut replicas, 0, 5_000);
        let sent = run(&mut replicas, 5_000, 5_000 + SECONDS * 1_000);
        let most = sent.values().map(|(bytes, _)| *bytes).max().unwrap_or(0);
        let total: u64 = sent.values().map(|(bytes, _)| *bytes).sum();
        let messages: u64 = sent.values().map(|(_, messages)| *messages).sum();
        writeln!(
            out,
            "idle: {count} voters: {} bytes/s in all, {} bytes/s from the leader, {} messages/s",
            total / SECONDS,
            most / SECONDS,
            messages / SECONDS,
        )?;
    }
    Ok(())
}

fn start(voter: id::VoterId, voters: &[id::VoterId]) -> replica::Replica {
    let cfg = replica::Config::new(replica::Start::Found { voters: voters.to_vec() });
    let disk = id::DiskId::new(u64::MAX / 3 * voter.get());
    let recovered = replica::Recovered { voter, disk, ..replica::Recovered::default() };
    replica::Replica::new(cfg, recovered, voter.get(), time::Monotonic::ZERO)
}

/// Runs the replicas from `start` to `end`, in milliseconds, and returns the number of bytes and
/// messages that each one sent.
fn run(
    replicas: &mut BTreeMap<id::VoterId, replica::Replica>,
    start: u64,
    end: u64,
) -> BTreeMap<id::VoterId, (u64, u64)> {
    let mut sent = BTreeMap::new();
    let mut in_flight = VecDeque::new();
    for millis in start..end {
        let now = time::Monotonic::from_millis(millis);
        for (from, to, message) in std::mem::take(&mut in_flight) {
            let receiver: Option<&mut replica::Replica> = replicas.get_mut(&to);
            if let Some(receiver) = receiver {
                receiver.step(now, from, message);
            }
        }
        for (voter, replica) in replicas.iter_mut() {
            replica.tick(now);
            let mut actions = VecDeque::from(replica.take_actions());
            while let Some(action) = actions.pop_front() {
                match action {
                    replica::Action::Persist(write) => {
                        replica.persisted(now, write.sequence);
                        actions.extend(replica.take_actions());
                    }
                    replica::Action::Send { to, message } => {
                        let counted = sent.entry(*voter).or_insert((0, 0));
                        counted.0 += message.to_bytes().len() as u64;
                        counted.1 += 1;
                        in_flight.push_back((*voter, to, message));
                    }
                    _ => {}
                }
            }
        }
    }
    sent
}
