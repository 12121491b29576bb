use std::io::{self, Write as _};
use std::mem;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use super::event::Event;

/// Most bytes of events that wait to be written; events beyond it are counted and left out.
const MAX_WAITING_BYTES: usize = 256 * 1024;
/// Time between writes: few wake-ups, and at most this much is lost with the process.
const FLUSH_PERIOD: Duration = Duration::from_millis(100);

/// Events on their way to standard output.
///
/// A thread writes them, so that a reader that is slow costs events and never a decision.
#[derive(Debug)]
pub(super) struct EventQueue {
    waiting: Arc<Mutex<Waiting>>,
}

#[derive(Debug, Default)]
struct Waiting {
    lines: Vec<u8>,
    left_out: u64,
}

impl EventQueue {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub(super) fn start() -> io::Result<Self> {
        let waiting = Arc::new(Mutex::new(Waiting::default()));
        let written = Arc::clone(&waiting);
        let run = move || {
            loop {
                thread::sleep(FLUSH_PERIOD);
                write_out(&written);
            }
        };
        thread::Builder::new().name("events".to_owned()).spawn(run)?;
        Ok(Self { waiting })
    }
}

impl log4rs::append::Append for EventQueue {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.lines.len() >= MAX_WAITING_BYTES {
            waiting.left_out += 1;
            return Ok(());
        }
        serde_json::to_writer(&mut waiting.lines, &Event(record))?;
        waiting.lines.push(b'\n');
        Ok(())
    }

    fn flush(&self) {
        write_out(&self.waiting);
    }
}

/// Writes what waits; a reader that is gone can't be told of it.
fn write_out(waiting: &Mutex<Waiting>) {
    let taken = mem::take(&mut *waiting.lock().unwrap_or_else(PoisonError::into_inner));
    if taken.lines.is_empty() && taken.left_out == 0 {
        return;
    }
    let mut out = io::stdout().lock();
    let _ = out.write_all(&taken.lines);
    if taken.left_out > 0 {
        let _ = writeln!(
            out,
            "{{\"level\":\"WARN\",\"part\":\"logs\",\"event\":\"events were left out\",\"count\":{}}}",
            taken.left_out
        );
    }
    let _ = out.flush();
}
