use std::cell::RefCell;
use std::collections::HashMap;

use comfreymill_ledger::request;
use comfreymill_route::idempotency;
use comfreymill_types::error;
use comfreymill_types::id;

use super::attempt::ExecutorAnswer;

const MAX_KEYS: usize = 4_096;
const MAX_JOINED: usize = 64;

/// Result of a request, as returned to its caller.
pub(super) type RunResult = Result<ExecutorAnswer, error::Error>;

/// Keys of requests in progress on this entry, with the requests that wait for another's result.
pub(super) struct KeyedRuns {
    in_flight: RefCell<idempotency::InFlightKeys<request::RequestKey>>,
    waiting: RefCell<HashMap<u64, flume::Sender<RunResult>>>,
}

/// What a keyed request must do on this entry.
pub(super) enum KeyedAction {
    /// Run the request.
    Run,
    /// Wait for the result of the request in progress with the same key.
    Wait(flume::Receiver<RunResult>),
}

impl Default for KeyedRuns {
    fn default() -> Self {
        let in_flight = RefCell::new(idempotency::InFlightKeys::new(MAX_KEYS, MAX_JOINED));
        Self { in_flight, waiting: RefCell::default() }
    }
}

impl KeyedRuns {
    /// Registers a request under its key.
    ///
    /// # Errors
    ///
    /// `key-reused` if the key belongs to a different request; `queue-full` if too many keys are in
    /// progress or too many requests wait for this key.
    pub(super) fn begin(
        &self,
        key: &request::RequestKey,
        digest: id::Digest,
        number: u64,
    ) -> Result<KeyedAction, error::Error> {
        match self.in_flight.borrow_mut().begin(key, digest, number) {
            idempotency::KeyAdmission::Run => Ok(KeyedAction::Run),
            idempotency::KeyAdmission::Joined { .. } => {
                let (tx, rx) = flume::bounded(1);
                self.waiting.borrow_mut().insert(number, tx);
                Ok(KeyedAction::Wait(rx))
            }
            idempotency::KeyAdmission::Refused(error) => Err(error),
        }
    }

    /// Removes a finished request and sends its result to the requests that joined it.
    pub(super) fn finish(&self, key: &request::RequestKey, number: u64, result: &RunResult) {
        let joined = self.in_flight.borrow_mut().finish(key, number);
        let mut waiting = self.waiting.borrow_mut();
        for number in joined {
            if let Some(tx) = waiting.remove(&number) {
                tx.send(result.clone()).ok();
            }
        }
    }

    /// Removes a request that has stopped waiting for the result.
    pub(super) fn stop_waiting(&self, key: &request::RequestKey, number: u64) {
        self.in_flight.borrow_mut().cancel_joined(key, number);
        self.waiting.borrow_mut().remove(&number);
    }
}
