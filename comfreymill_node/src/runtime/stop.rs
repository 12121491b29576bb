use std::io;
use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// How a process shall end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stop {
    /// After the requests in progress.
    Graceful,
    /// At once.
    Now,
}

/// Turns SIGTERM and SIGINT into messages: the first is graceful, later ones are not.
///
/// # Errors
///
/// The signals cannot be taken over.
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
