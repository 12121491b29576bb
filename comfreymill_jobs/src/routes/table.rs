use std::collections::BTreeSet;

use super::{Pool, Queue};

/// One version of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RouteTable {
    /// Version number; a higher version replaces a lower one.
    pub version: u64,
    /// Queues that requests are routed to.
    pub queues: Vec<Queue>,
    /// Pools of workers that queues refer to by name.
    pub pools: Vec<Pool>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: Option<u64>,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: Option<u64>,
    /// Time within which a request's head has to arrive, in milliseconds.
    pub head_timeout_ms: Option<u64>,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_timeout_ms: Option<u64>,
}

/// Error returned for an invalid route table.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct TableError {
    /// Path of the invalid field.
    pub field: String,
    /// Why the field is invalid.
    pub reason: String,
}

impl RouteTable {
    /// Validates the table.
    ///
    /// # Errors
    ///
    /// Returns an error if a queue names an unknown pool, two queues share host and prefix, or a
    /// timeout is zero.
    pub fn check(&self) -> Result<(), TableError> {
        let mut prefixes = BTreeSet::new();
        for (number, queue) in self.queues.iter().enumerate() {
            let invalid = |field: &str, reason: String| {
                Err(TableError { field: format!("queues[{number}].{field}"), reason })
            };
            if self.pool(&queue.pool).is_none() {
                return invalid("pool", format!("there is no pool {:?}", queue.pool));
            }
            if !prefixes.insert((queue.host.to_ascii_lowercase(), &queue.prefix)) {
                return invalid("prefix", "another queue has the same host and prefix".to_owned());
            }
            if queue.timeout_ms == 0 {
                return invalid("timeout", "must be above 0".to_owned());
            }
        }
        Ok(())
    }

    /// Returns the queue with the longest matching prefix, and the rest of the path after the
    /// prefix.
    pub fn find<'p>(&self, host: &str, path: &'p str) -> Option<(&Queue, &'p str)> {
        let fitting = self.queues.iter().filter(|queue| queue.host.eq_ignore_ascii_case(host));
        let fitting = fitting.filter_map(|queue| Some((queue, path.strip_prefix(&queue.prefix)?)));
        fitting.max_by_key(|(queue, _)| queue.prefix.len())
    }

    /// Returns the queue that has exactly this host and prefix.
    pub(crate) fn at(&self, host: &str, prefix: &str) -> Option<&Queue> {
        let mut queues = self.queues.iter();
        queues.find(|queue| queue.host.eq_ignore_ascii_case(host) && queue.prefix == prefix)
    }

    /// Returns the names of all queues.
    pub(crate) fn names(&self) -> BTreeSet<String> {
        self.queues.iter().map(|queue| queue.name.clone()).collect()
    }

    /// Gives queues that have the name of an earlier one names of their own: operators may repeat a
    /// name, and jobs refer to their queues by name.
    #[must_use]
    pub fn with_unique_names(mut self) -> Self {
        let mut taken = self.names();
        let mut seen = BTreeSet::new();
        for queue in &mut self.queues {
            if !seen.insert(queue.name.clone()) {
                queue.name = unused_name(&queue.name, &taken);
                taken.insert(queue.name.clone());
            }
        }
        self
    }

    /// Returns the queue named `name`.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns the pool named `name`.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}

/// Returns `name` with a number that makes it differ from all in `taken`, if it is one of them.
pub(crate) fn unused_name(name: &str, taken: &BTreeSet<String>) -> String {
    if !taken.contains(name) {
        return name.to_owned();
    }
    let numbered = (2_u64..).map(|number| format!("{name}#{number}"));
    let mut unused = numbered.filter(|numbered| !taken.contains(numbered));
    unused.next().unwrap_or_default()
}
