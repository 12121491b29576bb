use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What happened at a stand-in, in order.
#[derive(Clone, Debug)]
pub struct Journal {
    origin: Instant,
    records: Arc<Mutex<Vec<Record>>>,
}

/// One thing that happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Time since the journal began.
    pub at: Duration,
    /// Stand-in at which it happened.
    pub place: String,
    /// Request, attempt or job it happened to.
    pub subject: String,
    /// What happened.
    pub kind: RecordKind,
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordKind {
    /// It began to run.
    Began,
    /// It ran to its end.
    Finished,
    /// It was stopped before its end.
    Stopped,
    /// It failed.
    Failed,
    /// It was refused without having run.
    NotRun,
}

impl Default for Journal {
    fn default() -> Self {
        Self { origin: Instant::now(), records: Arc::default() }
    }
}

impl Journal {
    /// Notes what happened now.
    pub fn note(&self, place: &str, subject: &str, kind: RecordKind) {
        let record = Record {
            at: self.origin.elapsed(),
            place: place.to_owned(),
            subject: subject.to_owned(),
            kind,
        };
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }

    /// Everything that happened so far.
    pub fn get_records(&self) -> Vec<Record> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// How often something happened to subjects that begin with `prefix`.
    pub fn count(&self, prefix: &str, kind: &RecordKind) -> usize {
        let records = self.get_records();
        records.iter().filter(|it| it.subject.starts_with(prefix) && it.kind == *kind).count()
    }
}
