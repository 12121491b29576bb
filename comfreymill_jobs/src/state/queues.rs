//! Queues of open jobs across versions of the routes.
//!
//! Callers know a queue by its host and prefix, and a version of the routes may give them another name
//! or remove them. Open jobs go on under the name that their host and prefix have now; where these are
//! removed, the queue is kept as it was until its last open job is over.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use super::{Effect, Job, Routes, State};
use crate::routes;

impl State {
    /// Puts a version of the routes in force, unless it is not higher than the current one.
    pub(super) fn change_routes(&mut self, table: routes::RouteTable, document: Bytes) -> Effect {
        let current = self.routes.as_ref().map(|routes| routes.table.version);
        if current.is_some_and(|current| table.version <= current) {
            return Effect::None;
        }
        let known = self.get_job_routes();
        let mut taken = table.names();
        let mut removed = Vec::new();
        let mut renamed = BTreeMap::new();
        for name in self.queues_with_open_jobs() {
            let Some(queue) = known.queue(&name) else { continue };
            let next = match table.at(&queue.host, &queue.prefix) {
                Some(next) => next.name.clone(),
                None => {
                    let unused = routes::unused_name(&name, &taken);
                    taken.insert(unused.clone());
                    removed.push(routes::Queue { name: unused.clone(), ..queue.clone() });
                    unused
                }
            };
            if next != name {
                renamed.insert(name, next);
            }
        }
        for job in self.jobs.values_mut().filter(|job| !job.is_over()) {
            if let Some(next) = renamed.get(&job.queue) {
                job.queue.clone_from(next);
            }
        }
        self.removed_queues = removed;
        self.routes = Some(Routes { table, document });
        Effect::RoutesChanged
    }

    /// Returns the routes in force together with the queues that were removed and may still have open
    /// jobs, to which no request is routed.
    pub fn get_job_routes(&self) -> routes::RouteTable {
        let mut table = self.routes.as_ref().map(|routes| routes.table.clone()).unwrap_or_default();
        table.queues.extend(self.removed_queues.iter().cloned());
        table
    }

    /// Returns the queues that were removed from the routes and may still have open jobs.
    pub fn get_removed_queues(&self) -> &[routes::Queue] {
        &self.removed_queues
    }

    fn queues_with_open_jobs(&self) -> BTreeSet<String> {
        let open = self.jobs.values().filter(|job| !Job::is_over(job));
        open.map(|job| job.queue.clone()).collect()
    }
}
