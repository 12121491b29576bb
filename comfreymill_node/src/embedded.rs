//! One control process and one entry in one process, on loopback: the embedded default.

use std::thread;

use comfreymill_types::error;

use crate::control;
use crate::entry;
use crate::runtime;
use crate::settings;

/// Runs both parts until they are told to stop, the entry first.
///
/// # Errors
///
/// A part cannot start or has to stop.
pub fn run(
    embedded: &settings::Embedded,
    stop: &flume::Receiver<runtime::Stop>,
) -> Result<(), error::Error> {
    embedded.prepare()?;
    let internal = |text: String| error::Error::new(error::ErrorKind::Internal, text);
    let control = embedded.get_control().map_err(|e| internal(e.to_string()))?;
    let entry = embedded.get_entry().map_err(|e| internal(e.to_string()))?;
    let (stop_control, control_stopped) = flume::unbounded();
    let run_control = move || control::run(&control, &control_stopped);
    let running = thread::Builder::new().name("control".to_owned()).spawn(run_control);
    let running = running.map_err(|e| internal(e.to_string()))?;
    let entry_end = entry::run(&entry, stop);
    stop_control.send(runtime::Stop::Graceful).ok();
    let control_end = running.join().map_err(|_| internal("the control part panicked".to_owned()));
    entry_end?;
    control_end?.map_err(error::Error::from)
}
