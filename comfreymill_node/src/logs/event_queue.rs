use std::io::{self, Write as _};
use std::mem;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use super::event::Event;

/// Maximum number of queued bytes; further events are counted and dropped.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Interval between writes: long enough for few wake-ups, and the events of at most this time are
/// lost when the process ends abruptly.
const FLUSH_PERIOD: Duration = Duration::from_millis(100);
/// Maximum number of bytes per write (`PIPE_BUF`): a pipe accepts this much atomically, and readers
/// that split long writes do not split these.
const MAX_CHUNK_BYTES: usize = 4_096;

/// Queue of events to be written to stdout.
///
/// A thread writes them, so that a slow reader causes the loss of events but never blocks the
/// process.
#[derive(Debug)]
pub(super) struct EventQueue {
    queued: Arc<Mutex<Queued>>,
}

#[derive(Debug, Default)]
struct Queued {
    lines: Vec<u8>,
    dropped: u64,
}

impl EventQueue {
    /// Starts the thread that writes the events.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub(super) fn start() -> io::Result<Self> {
        let queued = Arc::new(Mutex::new(Queued::default()));
        let to_write = Arc::clone(&queued);
        let run = move || {
            loop {
                thread::sleep(FLUSH_PERIOD);
                write_queued(&to_write);
            }
        };
        thread::Builder::new().name("events".to_owned()).spawn(run)?;
        Ok(Self { queued })
    }
}

impl log4rs::append::Append for EventQueue {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut queued = self.queued.lock().unwrap_or_else(PoisonError::into_inner);
        if queued.lines.len() >= MAX_QUEUED_BYTES {
            queued.dropped += 1;
            return Ok(());
        }
        serde_json::to_writer(&mut queued.lines, &Event(record))?;
        queued.lines.push(b'\n');
        Ok(())
    }

    fn flush(&self) {
        write_queued(&self.queued);
    }
}

/// Writes the queued lines as far as the reader accepts them; the rest stays queued, so that no line
/// is truncated.
fn write_queued(queued: &Mutex<Queued>) {
    let lock = || queued.lock().unwrap_or_else(PoisonError::into_inner);
    let mut batch = mem::take(&mut *lock());
    if batch.dropped > 0 {
        let note = DroppedNote {
            level: "WARN",
            part: "logs",
            event: "events were dropped",
            count: batch.dropped,
        };
        // Writing to a vector cannot fail.
        if serde_json::to_writer(&mut batch.lines, &note).is_ok() {
            batch.lines.push(b'\n');
        }
    }
    let mut out = io::stdout().lock();
    let mut written = 0;
    while written < batch.lines.len() {
        match out.write(next_chunk(&batch.lines[written..])) {
            Ok(count) if count > 0 => written += count,
            // The reader is slow or has closed stdout, which cannot be reported anywhere.
            _ => break,
        }
    }
    // A flush fails only if a write fails too.
    let _ = out.flush();
    if written < batch.lines.len() {
        let mut queued = lock();
        let newer = mem::take(&mut queued.lines);
        queued.lines = batch.lines.split_off(written);
        queued.lines.extend(newer);
    }
}

/// Returns as many whole lines as fit into one write, but at least one.
fn next_chunk(lines: &[u8]) -> &[u8] {
    let limit = lines.len().min(MAX_CHUNK_BYTES);
    let is_end = |byte: &u8| *byte == b'\n';
    let end = match lines[..limit].iter().rposition(is_end) {
        Some(last) => last + 1,
        None => lines.iter().position(is_end).map_or(lines.len(), |first| first + 1),
    };
    &lines[..end]
}

/// Event that reports how many events were dropped.
#[derive(serde::Serialize)]
struct DroppedNote {
    level: &'static str,
    part: &'static str,
    event: &'static str,
    count: u64,
}
