//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Run of a task on one incarnation of an executor.
#[derive(Clone, Debug)]
pub(crate) struct RunRecord {
    pub(crate) executor: String,
    pub(crate) task: String,
    pub(crate) run: u64,
    pub(crate) begun: Duration,
    /// When and how it ended; `None` while it goes on.
    pub(crate) ended: Option<(Duration, &'static str)>,
    /// When the system took note of the end, unless the executor's lease had lapsed before.
    pub(crate) noted: Option<Duration>,
    /// Whether the lease lapsed between the end and its being taken note of.
    has_lapsed: bool,
}

/// Record of a case, shared by all stand-ins.
#[derive(Clone, Debug)]
pub(crate) struct Record(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    file: File,
    start: Instant,
    runs: Vec<RunRecord>,
}

impl Record {
    pub(crate) fn create(path: &str) -> std::io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self(Arc::new(Mutex::new(Inner { file, start: Instant::now(), runs: Vec::new() }))))
    }

    /// Returns the time since the start of the case.
    pub(crate) fn now(&self) -> Duration {
        self.0.lock().expect("no thread panics").start.elapsed()
    }

    /// Writes a line.
    pub(crate) fn note<T>(&self, text: T)
    where
        T: AsRef<str>,
    {
        self.0.lock().expect("no thread panics").write(text.as_ref());
    }

    pub(crate) fn begun(&self, executor: &str, task: &str, run: u64) {
        let mut inner = self.0.lock().expect("no thread panics");
        inner.write(&format!("{executor} begins {task} run {run}"));
        let begun = inner.start.elapsed();
        let (executor, task) = (executor.to_owned(), task.to_owned());
        inner.runs.push(RunRecord {
            executor,
            task,
            run,
            begun,
            ended: None,
            noted: None,
            has_lapsed: false,
        });
    }

    pub(crate) fn ended(&self, executor: &str, task: &str, run: u64, how: &'static str) {
        let mut inner = self.0.lock().expect("no thread panics");
        inner.write(&format!("{executor} ends {task} run {run}: {how}"));
        let now = inner.start.elapsed();
        if let Some(entry) = inner.find(executor, task, run) {
            entry.ended.get_or_insert((now, how));
        }
    }

    /// Records that the system takes note of an end.
    pub(crate) fn noted(&self, executor: &str, task: &str, run: u64) {
        let mut inner = self.0.lock().expect("no thread panics");
        let now = inner.start.elapsed();
        let Some(entry) = inner.find(executor, task, run) else { return };
        if entry.noted.is_some() || entry.has_lapsed {
            return;
        }
        entry.noted = Some(now);
        inner.write(&format!("{executor}: the end of {task} run {run} is taken note of"));
    }

    /// Records that the lease of an executor lapses.
    pub(crate) fn lapsed(&self, executor: &str) {
        let mut inner = self.0.lock().expect("no thread panics");
        let of_executor = inner.runs.iter_mut().filter(|entry| entry.executor == executor);
        for entry in of_executor.filter(|entry| entry.noted.is_none()) {
            entry.has_lapsed = true;
        }
    }

    /// Returns all runs so far.
    pub(crate) fn runs(&self) -> Vec<RunRecord> {
        self.0.lock().expect("no thread panics").runs.clone()
    }
}

impl Inner {
    fn write(&mut self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        // A record that cannot be written shows in the empty file.
        let _ = writeln!(self.file, "{at:9.3} {text}");
    }

    fn find(&mut self, executor: &str, task: &str, run: u64) -> Option<&mut RunRecord> {
        let mut runs = self.runs.iter_mut().rev();
        runs.find(|entry| entry.executor == executor && entry.task == task && entry.run == run)
    }
}
