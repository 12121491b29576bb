use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Event log shared by stand-ins, in the order of the events.
#[derive(Clone, Debug)]
pub struct Journal {
    started_at: Instant,
    records: Arc<Mutex<Vec<Record>>>,
}

/// One event at a stand-in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Time since the journal was created.
    pub at: Duration,
    /// Name of the stand-in at which the event happened.
    pub place: String,
    /// Request, attempt or job that the event concerns.
    pub subject: String,
    /// Kind of event.
    pub kind: RecordKind,
}

/// Kind of event at a stand-in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RecordKind {
    /// The subject began to run.
    Began,
    /// The subject ran to completion.
    Finished,
    /// The subject was stopped before it completed.
    Stopped,
    /// The subject failed.
    Failed,
    /// The subject was rejected without having run.
    NotRun,
}

impl Default for Journal {
    fn default() -> Self {
        Self { started_at: Instant::now(), records: Arc::default() }
    }
}

impl Journal {
    /// Records an event with the current time.
    pub fn note(&self, place: &str, subject: &str, kind: RecordKind) {
        let record = Record {
            at: self.started_at.elapsed(),
            place: place.to_owned(),
            subject: subject.to_owned(),
            kind,
        };
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }

    /// Returns all events so far.
    pub fn get_records(&self) -> Vec<Record> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of events of one kind whose subject begins with `prefix`.
    pub fn count(&self, prefix: &str, kind: &RecordKind) -> usize {
        let records = self.get_records();
        let is_counted =
            |record: &&Record| record.subject.starts_with(prefix) && record.kind == *kind;
        records.iter().filter(is_counted).count()
    }
}
