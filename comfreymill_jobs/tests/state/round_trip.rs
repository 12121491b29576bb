//! Replicas that read a snapshot go on like those that applied all commands.

use comfreymill_jobs::state::{Command, CrashedRun, State, Submission};
use comfreymill_jobs::worker::{End, EndKind, Resources};
use comfreymill_jobs::{id, routes};
use quickcheck::{Gen, QuickCheck};

use super::zone_order;
use crate::support::{announcement, pool, queue, spec, step};

const ENDS: [EndKind; 6] = [
    EndKind::Done,
    EndKind::Failed,
    EndKind::Stopped,
    EndKind::Lapsed,
    EndKind::GangBroken,
    EndKind::GangIncomplete,
];

/// Returns a command about one of a few jobs, workers and versions.
fn command((kind, which, detail): (u8, u8, u8)) -> Command {
    let job = id::JobKey::new(u64::from(which % 4) + 1);
    let worker = id::WorkerNumber::new(u32::from(which % 5) + 1);
    let step_id = id::StepId { job, occurrence: 0, step: u16::from(detail % 2) };
    let task = step_id.task(u16::from(detail / 2 % 3));
    let run = id::Run::new(u32::from(detail % 4) + 1);
    let submission = || {
        let spec = spec(vec![step(2), step(1)]);
        let queue = format!("batch-{}", detail % 3);
        Box::new(Submission { job, queue, max_attempts: 2, spec })
    };
    match kind % 17 {
        0 => Command::Lead,
        1 | 2 => {
            let queues = (0..detail % 3).map(|number| queue(&format!("batch-{number}"), "/b"));
            let table = routes::RouteTable {
                version: u64::from(which),
                queues: queues.collect(),
                pools: vec![pool()],
                limits: routes::Limits::default(),
            };
            Command::SetRoutes { table: Box::new(table), document: vec![which, detail].into() }
        }
        3 => Command::Submit(submission()),
        4 => Command::SubmitAt { submission: submission(), unix_ms: u64::from(detail) },
        5 => Command::Cancel { job },
        6 | 7 => {
            let name = format!("w-{}", which % 3);
            let announced = announcement(&name, u64::from(detail % 3), 1);
            Command::AddWorker { announced: Box::new(announced) }
        }
        8 => Command::DropWorkers { workers: vec![worker] },
        9..12 => {
            let kind = ENDS[usize::from(which) % ENDS.len()];
            let checkpoint = format!("{detail}");
            let ends = vec![End { number: u64::from(detail) + 1, task, run, kind, checkpoint }];
            Command::NoteEnds { worker, ends }
        }
        12 => Command::Forget { jobs: vec![job] },
        13 => Command::MarkLeaving { worker, sequence: u64::from(detail) },
        14 => {
            let runs = vec![CrashedRun { task, run, is_suspect: detail > 100 }];
            let given_up = if detail > 200 { vec![task] } else { Vec::new() };
            Command::NoteCrash { worker, runs, given_up }
        }
        15 if detail < 128 => Command::Evacuate(zone_order("ines", u64::from(detail % 4))),
        15 => Command::WithdrawEvacuation(zone_order("noor", u64::from(detail % 4))),
        _ if detail < 128 => {
            let capacity = Resources { cpu_milli: 1_000, mem_mb: u32::from(detail), gpus: 0 };
            Command::SetCapacity { worker, capacity }
        }
        _ => Command::SetZone { worker, zone: format!("zone-{detail}") },
    }
}

/// Applies the commands to a state and to one that is read from a snapshot after each.
fn goes_on_the_same(choices: Vec<(u8, u8, u8)>) -> bool {
    let (mut kept, mut reread) = (State::default(), State::default());
    for (index, choice) in (1..).zip(choices) {
        let encoded = postcard::to_stdvec(&command(choice)).expect("encoded");
        let decoded: Command = postcard::from_bytes(&encoded).expect("decoded");
        assert_eq!(kept.apply(index, command(choice)), reread.apply(index, decoded));
        assert_eq!(kept, reread, "after {choice:?}");
        let snapshot = reread.to_snapshot().expect("encoded");
        reread = State::from_snapshot(&snapshot).expect("decoded");
        assert_eq!(kept, reread, "read back after {choice:?}");
    }
    true
}

#[test]
fn a_state_that_is_read_from_snapshots_goes_on_the_same() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 17))
        .tests(400)
        .quickcheck(goes_on_the_same as fn(Vec<(u8, u8, u8)>) -> bool);
}
