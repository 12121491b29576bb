use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Record of what was sent, answered and run, with times since its start.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates the record as a new file.
    pub(crate) fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { file, began: Instant::now() })
    }

    /// Adds a line.
    pub(crate) fn add(&self, line: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // The verdict does not depend on the record.
        let _ = writeln!(file, "{seconds:8.3} s  {line}");
    }
}
