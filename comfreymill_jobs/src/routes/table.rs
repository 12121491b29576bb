use super::{Pool, Queue};

/// One version of the routes.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct RouteTable {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Pools.
    pub pools: Vec<Pool>,
    /// Bounds on requests.
    pub limits: Limits,
}

/// Bounds on callers' requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub max_head_bytes: Option<u64>,
    /// Most bytes of a request's body.
    pub max_body_bytes: Option<u64>,
    /// Milliseconds within which a head has to arrive.
    pub head_timeout_ms: Option<u64>,
    /// Milliseconds after which an unused connection is closed.
    pub idle_timeout_ms: Option<u64>,
}

/// A version of the routes is invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct TableError {
    /// Field at fault.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl RouteTable {
    /// Checks the parts against each other.
    ///
    /// # Errors
    ///
    /// A queue names an unknown pool, two queues share host and prefix, or a time-out is zero.
    pub fn check(&self) -> Result<(), TableError> {
        let mut places = std::collections::BTreeSet::new();
        for (number, queue) in self.queues.iter().enumerate() {
            let fault = |field: &str, reason: String| {
                Err(TableError { field: format!("queues[{number}].{field}"), reason })
            };
            if self.pool(&queue.pool).is_none() {
                return fault("pool", format!("{:?} is not among the pools", queue.pool));
            }
            if !places.insert((&queue.host, &queue.prefix)) {
                return fault("prefix", "another queue has the same host and prefix".to_owned());
            }
            if queue.timeout_ms == 0 {
                return fault("timeout", "must be above 0".to_owned());
            }
        }
        Ok(())
    }

    /// Queue of the longest prefix, and the rest of the path.
    pub fn find<'p>(&self, host: &str, path: &'p str) -> Option<(&Queue, &'p str)> {
        let fitting = self.queues.iter().filter(|queue| queue.host.eq_ignore_ascii_case(host));
        let fitting = fitting.filter_map(|queue| Some((queue, path.strip_prefix(&queue.prefix)?)));
        fitting.max_by_key(|(queue, _)| queue.prefix.len())
    }

    /// Queue named `name`.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Pool named `name`.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}
