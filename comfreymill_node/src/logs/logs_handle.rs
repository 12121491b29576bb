use std::path;
use std::thread;

use comfreymill_types::error;
use signal_hook::iterator;

use super::{Logger, reload};
use crate::settings;

/// Running logs of the process; dropping it ends the reload of the level.
#[derive(Debug)]
pub struct Logs {
    signals: Option<iterator::Handle>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Starts the logs of the process.
///
/// With a settings file, SIGHUP reads the level from it again.
///
/// # Errors
///
/// The log file cannot be opened, or the process has logs already.
pub fn start(cfg: &settings::LogSettings, file: Option<&path::Path>) -> Result<Logs, error::Error> {
    let storage = |message: String| error::Error::new(error::ErrorKind::Storage, message);
    let internal = |message: String| error::Error::new(error::ErrorKind::Internal, message);
    let logger =
        Logger::new(cfg).map_err(|error| storage(format!("the log cannot be opened: {error}")))?;
    log::set_boxed_logger(Box::new(logger))
        .map_err(|error| internal(format!("the log cannot be started: {error}")))?;
    log::set_max_level(cfg.get_level().to_filter());
    let Some(file) = file else { return Ok(Logs { signals: None, thread: None }) };
    let watch = reload::watch(file.to_owned())
        .map_err(|error| internal(format!("SIGHUP cannot be watched: {error}")))?;
    Ok(Logs { signals: Some(watch.0), thread: Some(watch.1) })
}

impl Drop for Logs {
    fn drop(&mut self) {
        if let Some(signals) = self.signals.take() {
            signals.close();
        }
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was reported by the panic itself.
            let _ = thread.join();
        }
    }
}
