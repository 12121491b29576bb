use std::collections::BTreeMap;

use super::Scheduler;
use crate::state;

/// # Changes of the routes
impl Scheduler {
    /// Handles a change of the routes in force: open jobs go on in the queues that they are in now.
    pub fn routes_changed(&mut self, state: &state::State) {
        self.routes = state.get_job_routes();
        let mut moved: BTreeMap<(String, &str), u64> = BTreeMap::new();
        for (key, entry) in &mut self.jobs {
            self.steps += 1;
            let Some(job) = state.get_jobs().get(key) else { continue };
            if entry.queue != job.queue {
                let from = std::mem::replace(&mut entry.queue, job.queue.clone());
                *moved.entry((from, &job.queue)).or_default() += 1;
            }
        }
        for ((from, to), jobs) in moved {
            log::info!(target: "routes", queue = to, before:% = from, jobs; "the open jobs of a queue go on under its new name");
        }
        for queue in state.get_removed_queues() {
            log::info!(target: "routes", queue = queue.name.as_str(), host = queue.host.as_str(), prefix = queue.prefix.as_str(), pool = queue.pool.as_str(); "a queue is removed: its open jobs go on");
        }
        self.needs_placement = true;
    }
}
