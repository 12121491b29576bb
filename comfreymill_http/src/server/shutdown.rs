use std::time;

use super::watch;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Running,
    Draining { grace: time::Duration },
    Aborted,
}

/// Handle that stops a listener and its connections; clones share their state.
#[derive(Clone, Debug)]
pub struct Shutdown {
    stage: watch::Watch<Stage>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

impl Shutdown {
    /// Creates a handle whose shutdown has not begun.
    #[must_use]
    pub fn new() -> Self {
        Self { stage: watch::Watch::new(Stage::Running) }
    }

    /// Begins the graceful shutdown: new connections and requests are no longer accepted, and
    /// requests in progress have at most `grace` to finish.
    pub fn begin(&self, grace: time::Duration) {
        if self.stage.get() == Stage::Running {
            self.stage.set(Stage::Draining { grace });
        }
    }

    /// Aborts all connections immediately.
    pub fn abort(&self) {
        self.stage.set(Stage::Aborted);
    }

    /// Returns whether the shutdown has begun.
    pub fn is_begun(&self) -> bool {
        self.stage.get() != Stage::Running
    }

    /// Waits until the shutdown begins and returns its grace period, which is zero after
    /// [`Shutdown::abort`].
    pub async fn begun(&self) -> time::Duration {
        match self.stage.until(|stage| stage != Stage::Running).await {
            Stage::Draining { grace } => grace,
            Stage::Running | Stage::Aborted => time::Duration::ZERO,
        }
    }

    /// Waits until all connections are to be aborted.
    pub async fn aborted(&self) {
        self.stage.until(|stage| stage == Stage::Aborted).await;
    }
}
