//! Runs one voter and one entry in one process on loopback.

use std::thread;

use comfreymill_types::error;

use crate::control;
use crate::entry;
use crate::runtime;
use crate::settings;

/// Runs the voter and the entry until `stop` receives a message; the entry stops first.
///
/// # Errors
///
/// Fails if either cannot start or has to stop.
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
    let thread = thread::Builder::new().name("control".to_owned()).spawn(run_control);
    let control_thread = thread.map_err(|e| internal(e.to_string()))?;
    let entry_result = entry::run(&entry, stop);
    stop_control.send(runtime::Stop::Graceful).ok();
    let control_result =
        control_thread.join().map_err(|_| internal("the control thread panicked".to_owned()));
    entry_result?;
    control_result?.map_err(error::Error::from)
}
