use std::cell::RefCell;
use std::collections::HashMap;

use comfreymill_ledger::request;
use comfreymill_route::idempotency;
use comfreymill_types::error;
use comfreymill_types::id;

use super::attempt::ExecutorAnswer;

const MAX_KEYS: usize = 4_096;
const MAX_JOINED: usize = 64;

/// End of a request as its caller is told.
pub(super) type RunEnd = Result<ExecutorAnswer, error::Error>;

/// Keys in progress here, with those that wait for the end of another's run.
pub(super) struct Keys {
    joins: RefCell<idempotency::InFlightKeys<request::RequestKey>>,
    waiting: RefCell<HashMap<u64, flume::Sender<RunEnd>>>,
}

/// What a keyed request has to do here.
pub(super) enum Turn {
    /// Run.
    Run,
    /// Wait for the end of the run in progress.
    Wait(flume::Receiver<RunEnd>),
}

impl Default for Keys {
    fn default() -> Self {
        let joins = RefCell::new(idempotency::InFlightKeys::new(MAX_KEYS, MAX_JOINED));
        Self { joins, waiting: RefCell::default() }
    }
}

impl Keys {
    /// Takes a request in.
    ///
    /// # Errors
    ///
    /// `key-reused` if the key is another request's; `queue-full` beyond the bounds.
    pub(super) fn begin(
        &self,
        key: &request::RequestKey,
        digest: id::Digest,
        number: u64,
    ) -> Result<Turn, error::Error> {
        match self.joins.borrow_mut().begin(key, digest, number) {
            idempotency::KeyAdmission::Run => Ok(Turn::Run),
            idempotency::KeyAdmission::Joined { .. } => {
                let (tx, rx) = flume::bounded(1);
                self.waiting.borrow_mut().insert(number, tx);
                Ok(Turn::Wait(rx))
            }
            idempotency::KeyAdmission::Refused(error) => Err(error),
        }
    }

    /// Ends a run and tells those that joined it.
    pub(super) fn finish(&self, key: &request::RequestKey, number: u64, end: &RunEnd) {
        let joined = self.joins.borrow_mut().finish(key, number);
        let mut waiting = self.waiting.borrow_mut();
        for number in joined {
            if let Some(tx) = waiting.remove(&number) {
                tx.send(end.clone()).ok();
            }
        }
    }

    /// Takes out a request that waits no longer.
    pub(super) fn leave(&self, key: &request::RequestKey, number: u64) {
        self.joins.borrow_mut().cancel_joined(key, number);
        self.waiting.borrow_mut().remove(&number);
    }
}
