use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::platform::standin;

const PAUSE: Duration = Duration::from_millis(2);

/// Changes of the routes that are sent all the time, so that the log grows; stopped when dropped.
pub(super) struct SteadyChanges {
    is_over: Arc<AtomicBool>,
    acknowledged: Arc<AtomicU64>,
    thread: Option<thread::JoinHandle<()>>,
}

impl SteadyChanges {
    /// Starts to send changes to the schedulers, in turn whenever one is not acknowledged.
    pub(super) fn start(controls: Vec<SocketAddr>) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let acknowledged = Arc::new(AtomicU64::new(0));
        let (stop, count) = (Arc::clone(&is_over), Arc::clone(&acknowledged));
        let thread = thread::spawn(move || {
            let mut controls = controls.into_iter().cycle().peekable();
            let mut version = 1;
            while !stop.load(Ordering::Relaxed) {
                let control = *controls.peek().expect("endless");
                if standin::put_routes(control, version, "jobs") {
                    count.fetch_add(1, Ordering::Relaxed);
                    version += 1;
                } else {
                    controls.next();
                }
                thread::sleep(PAUSE);
            }
        });
        Self { is_over, acknowledged, thread: Some(thread) }
    }

    /// Returns the number of changes that were acknowledged.
    pub(super) fn count_acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::Relaxed)
    }
}

impl Drop for SteadyChanges {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A panic is printed already.
            let _ = thread.join();
        }
    }
}
