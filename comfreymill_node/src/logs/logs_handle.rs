use std::path;
use std::thread;

use comfreymill_types::error;
use signal_hook::iterator;

use super::{Logger, reload};
use crate::settings;

/// Handle of the running logger; dropping it stops the reload of the level on SIGHUP.
#[derive(Debug)]
pub struct Logs {
    signals: Option<iterator::Handle>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Starts the logger of the process.
///
/// With a settings file, SIGHUP reloads the level from it.
///
/// # Errors
///
/// Fails if the log file cannot be opened or a logger is installed already.
pub fn start(cfg: &settings::LogSettings, file: Option<&path::Path>) -> Result<Logs, error::Error> {
    let storage = |message: String| error::Error::new(error::ErrorKind::Storage, message);
    let internal = |message: String| error::Error::new(error::ErrorKind::Internal, message);
    let logger =
        Logger::new(cfg).map_err(|error| storage(format!("cannot open the log: {error}")))?;
    log::set_boxed_logger(Box::new(logger))
        .map_err(|error| internal(format!("cannot install the logger: {error}")))?;
    log::set_max_level(cfg.get_level().to_filter());
    let Some(file) = file else { return Ok(Logs { signals: None, thread: None }) };
    let watch = reload::watch(file.to_owned())
        .map_err(|error| internal(format!("cannot install the SIGHUP handler: {error}")))?;
    Ok(Logs { signals: Some(watch.0), thread: Some(watch.1) })
}

impl Drop for Logs {
    fn drop(&mut self) {
        if let Some(signals) = self.signals.take() {
            signals.close();
        }
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}
