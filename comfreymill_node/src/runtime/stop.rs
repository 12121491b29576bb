use std::io;
use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// How a process is to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stop {
    /// After the requests in progress have ended.
    Graceful,
    /// Immediately.
    Now,
}

/// Sends a message for each SIGTERM and SIGINT: the first stops gracefully, later ones immediately.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub fn stop_on_signals() -> io::Result<flume::Receiver<Stop>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (tx, rx) = flume::unbounded();
    let run = move || {
        let mut stop = Stop::Graceful;
        for _ in signals.forever() {
            if tx.send(stop).is_err() {
                return;
            }
            stop = Stop::Now;
        }
    };
    thread::Builder::new().name("signals".to_owned()).spawn(run)?;
    Ok(rx)
}
