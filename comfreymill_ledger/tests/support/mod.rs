//! Fixture that applies commands to a ledger.

use comfreymill_ledger::command::{Command, Entry, GroupTime, Reply};
use comfreymill_ledger::job;
use comfreymill_ledger::ledger::Ledger;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

/// Ledger with the log index of the last command and the time of the next one.
#[derive(Default)]
pub(crate) struct Fixture {
    pub(crate) ledger: Ledger,
    index: u64,
    pub(crate) now_ms: u64,
}

impl Fixture {
    pub(crate) fn apply(&mut self, command: Command) -> Reply {
        self.index += 1;
        let at = GroupTime::from_millis(self.now_ms);
        self.ledger.apply(self.index, Entry { at, command })
    }

    pub(crate) fn submit_job(&mut self, key: &str, unrepeatable: bool) -> id::JobId {
        let command = Command::SubmitJob { key: name(key), spec: spec(2), unrepeatable };
        match self.apply(command) {
            Reply::Job { job } => job,
            reply => panic!("{reply:?}"),
        }
    }

    pub(crate) fn start(&mut self, task: id::TaskId, number: u32, worker: &str) -> Reply {
        self.apply(Command::StartAttempt {
            attempt: attempt(task, number),
            worker: name(worker),
            incarnation: id::Incarnation::new(1),
            reserved: size::Resources::new(1_000, 1, 0),
        })
    }

    pub(crate) fn end(
        &mut self,
        task: id::TaskId,
        number: u32,
        outcome: job::AttemptOutcome,
    ) -> Reply {
        let attempt = attempt(task, number);
        self.apply(Command::EndAttempt { attempt, outcome, checkpoint: None, parking: None })
    }

    pub(crate) fn state(&self, task: id::TaskId) -> &job::TaskState {
        &self.ledger.get_task(task).expect("a task").state
    }
}

pub(crate) fn attempt(task: id::TaskId, number: u32) -> id::AttemptId {
    id::AttemptId::new(task, id::AttemptNumber::new(number))
}

pub(crate) fn name<T>(text: &str) -> T
where
    T: std::str::FromStr<Err = id::ParseIdError>,
{
    text.parse().expect("the name is valid")
}

pub(crate) fn spec(tasks: u32) -> job::JobSpec {
    job::JobSpec {
        environment: name("register"),
        stage: document::Stage::Production,
        team: name("registry"),
        class: name("certificate-batch"),
        tasks,
        size: None,
        payload: "hull 17".to_owned(),
    }
}

pub(crate) fn is_refused(reply: &Reply, wanted: comfreymill_types::error::ErrorKind) -> bool {
    matches!(reply, Reply::Refused { kind, .. } if *kind == wanted)
}
