use comfreymill_ledger::codec;
use comfreymill_ledger::command::{Command, Entry, GroupTime};
use comfreymill_ledger::grant::{Grant, GrantKey};
use comfreymill_ledger::job::{AttemptOutcome, Progress};
use comfreymill_ledger::ledger::Ledger;
use comfreymill_ledger::request::{Owner, RequestKey, RequestOutcome, StoredAnswer};
use comfreymill_types::document::Stage;
use comfreymill_types::id;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::support::{attempt, name, spec};

const SEED: u64 = 0x5eed;

/// Arbitrary command over few ids, so that commands often repeat or contradict earlier ones.
#[derive(Clone, Debug)]
struct ArbitraryCommand(Command);

impl Arbitrary for ArbitraryCommand {
    fn arbitrary(g: &mut Gen) -> Self {
        let small = |g: &mut Gen| u64::arbitrary(g) % 4;
        let number = small(g);
        let task = id::TaskId::new(id::JobId::new(1 + small(g)), small(g) as u32);
        let run = attempt(task, 1 + small(g) as u32);
        let owner = Owner {
            entry: name(&format!("entry-{}", small(g))),
            incarnation: id::Incarnation::new(small(g)),
        };
        let key = RequestKey {
            environment: name("register"),
            stage: Stage::Production,
            team: None,
            key: name(&format!("k{number}")),
        };
        let text = format!("text {}", small(g));
        Self(match u8::arbitrary(g) % 11 {
            0 => Command::SubmitDocument {
                operation: name(&format!("o{}", small(g))),
                environment: name("register"),
                version: id::Version::new(number + small(g)),
                replaces: id::Version::new(number),
                text,
            },
            1 => Command::PromoteDocument {
                operation: name(&format!("p{}", small(g))),
                environment: name("register"),
                digest: id::Digest::of(text.as_bytes()),
            },
            2 => Command::SubmitJob {
                key: name(&format!("j{number}")),
                spec: spec(1 + small(g) as u32),
                unrepeatable: bool::arbitrary(g),
            },
            3 => Command::CancelJob { job: id::JobId::new(number) },
            4 | 5 => Command::StartAttempt {
                attempt: run,
                worker: name("w-1"),
                incarnation: id::Incarnation::new(1),
                reserved: Default::default(),
            },
            6 => Command::EndAttempt {
                attempt: run,
                outcome: AttemptOutcome::Lost { progress: Progress::PastCheckpoint },
                checkpoint: None,
                parking: None,
            },
            7 => Command::ReleaseTask { task },
            8 => Command::OpenRequest {
                key,
                digest: id::Digest::of(b"a"),
                owner,
                unrepeatable: bool::arbitrary(g),
            },
            9 => {
                let body = Some("answer".into());
                let answer = StoredAnswer { status: 200, headers: Vec::new(), body };
                Command::CloseRequest { key, owner, outcome: RequestOutcome::Answered(answer) }
            }
            _ => {
                let key = GrantKey {
                    environment: name("register"),
                    stage: Stage::Production,
                    executor: name(&format!("hr-{number}")),
                    executor_incarnation: id::Incarnation::new(1),
                    entry: owner.entry,
                    entry_incarnation: owner.incarnation,
                };
                let (slots, epoch) = (small(g) as u32, small(g));
                Command::ChangeGrants { changes: vec![Grant { key, slots, epoch }] }
            }
        })
    }
}

/// Returns whether a replica that is restored from a snapshot after `restored_at` commands gives
/// the same replies and reaches the same state as one that applies the whole log.
#[allow(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]
fn restored_replica_agrees(commands: Vec<ArbitraryCommand>, restored_at: usize) -> bool {
    let entry = |command: &ArbitraryCommand, index: usize| {
        let at = GroupTime::from_millis(index as u64);
        let buf = codec::encode(&Entry { at, command: command.0.clone() });
        codec::decode::<Entry>(&buf).expect("an entry")
    };
    let mut first = Ledger::default();
    let mut second = Ledger::default();
    let restored_at = restored_at % (commands.len() + 1);
    for (index, command) in commands.iter().enumerate() {
        if index == restored_at {
            second = Ledger::from_snapshot(&second.to_snapshot()).expect("a snapshot");
        }
        let position = index as u64 + 1;
        let replies =
            [&mut first, &mut second].map(|ledger| ledger.apply(position, entry(command, index)));
        if replies[0] != replies[1] {
            return false;
        }
    }
    first == second && first.to_snapshot() == second.to_snapshot()
}

#[test]
fn a_restored_replica_agrees_with_one_that_applied_the_whole_log() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, SEED))
        .tests(300)
        .quickcheck(restored_replica_agrees as fn(Vec<ArbitraryCommand>, usize) -> bool);
}

#[test]
fn damaged_snapshots_are_refused() {
    let snapshot = Ledger::default().to_snapshot();
    for length in 0..snapshot.len() {
        assert!(Ledger::from_snapshot(&snapshot[..length]).is_err(), "{length} bytes");
    }
}
