use std::time;

use super::watch;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Running,
    Draining { grace: time::Duration },
    Cut,
}

/// Switch that stops a listener and its connections; clones act on the same one.
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
    /// A switch that was not used yet.
    #[must_use]
    pub fn new() -> Self {
        Self { stage: watch::Watch::new(Stage::Running) }
    }

    /// Starts the graceful stop: no new connection, no new request, and at most `grace` for the
    /// requests in progress.
    pub fn begin(&self, grace: time::Duration) {
        if self.stage.get() == Stage::Running {
            self.stage.set(Stage::Draining { grace });
        }
    }

    /// Ends every connection at once.
    pub fn cut(&self) {
        self.stage.set(Stage::Cut);
    }

    /// Whether the stop has begun.
    pub fn is_begun(&self) -> bool {
        self.stage.get() != Stage::Running
    }

    /// Waits until the stop begins; returns the time for the requests in progress.
    pub async fn begun(&self) -> time::Duration {
        match self.stage.until(|stage| stage != Stage::Running).await {
            Stage::Draining { grace } => grace,
            Stage::Running | Stage::Cut => time::Duration::ZERO,
        }
    }

    /// Waits until every connection is to be ended.
    pub async fn is_cut(&self) {
        self.stage.until(|stage| stage == Stage::Cut).await;
    }
}
