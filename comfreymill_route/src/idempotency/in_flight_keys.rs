use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use comfreymill_types::error;
use comfreymill_types::id;

use super::KeyAdmission;

const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request in progress, with the requests that wait for its answer.
#[derive(Debug)]
struct Run {
    digest: id::Digest,
    request: u64,
    joined: Vec<u64>,
}

/// Bounded set of the idempotency keys in progress at one entry.
///
/// `K` is a key together with its scope.
#[derive(Debug)]
pub struct InFlightKeys<K> {
    max_keys: usize,
    max_joined: usize,
    runs: HashMap<K, Run>,
}

impl<K> InFlightKeys<K>
where
    K: Clone + Eq + Hash,
{
    /// Creates a set of at most `max_keys` keys, each with at most `max_joined` joined requests.
    pub fn new(max_keys: usize, max_joined: usize) -> Self {
        Self { max_keys, max_joined, runs: HashMap::new() }
    }

    /// Starts or joins the request with `key`, or refuses it.
    ///
    /// A request whose content `digest` differs from that of the key in progress is refused.
    pub fn begin(&mut self, key: &K, digest: id::Digest, request: u64) -> KeyAdmission {
        let is_full = self.runs.len() >= self.max_keys;
        match self.runs.get_mut(key) {
            Some(run) if run.digest != digest => KeyAdmission::Refused(reused()),
            Some(run) if run.joined.len() >= self.max_joined => KeyAdmission::Refused(full()),
            Some(run) => {
                run.joined.push(request);
                KeyAdmission::Joined { run: run.request }
            }
            None if is_full => KeyAdmission::Refused(full()),
            None => {
                self.runs.insert(key.clone(), Run { digest, request, joined: Vec::new() });
                KeyAdmission::Run
            }
        }
    }

    /// Ends the run of a key and returns the joined requests, which get the same answer.
    ///
    /// Returns nothing if `request` is not the one that runs for the key.
    pub fn finish(&mut self, key: &K, request: u64) -> Vec<u64> {
        if self.runs.get(key).is_some_and(|run| run.request == request) {
            return self.runs.remove(key).map_or_else(Vec::new, |run| run.joined);
        }
        Vec::new()
    }

    /// Removes a joined request whose caller disconnected; the run continues.
    pub fn cancel_joined(&mut self, key: &K, request: u64) {
        if let Some(run) = self.runs.get_mut(key) {
            run.joined.retain(|joined| *joined != request);
        }
    }

    /// Returns the number of keys in progress.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no key is in progress.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}

fn reused() -> error::Error {
    let kind = error::ErrorKind::KeyReused;
    error::Error::new(kind, "the key is in use for a request with other content")
        .field("Idempotency-Key")
}

fn full() -> error::Error {
    let kind = error::ErrorKind::QueueFull;
    error::Error::new(kind, "too many requests with an idempotency key are in progress")
        .retry_after(FULL_RETRY_AFTER)
}
