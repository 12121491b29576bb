use comfreymill_types::error::ErrorKind;
use comfreymill_types::id;

use super::Requests;
use crate::command::{GroupTime, Reply};
use crate::request::{Owner, RequestKey, RequestOutcome, RequestRecord, RequestState};

impl Requests {
    pub(super) fn open(
        &mut self,
        now: GroupTime,
        key: RequestKey,
        digest: id::Digest,
        owner: Owner,
        unrepeatable: bool,
    ) -> Reply {
        self.expire(now);
        if let Some(record) = self.records.get_mut(&key) {
            if record.digest != digest {
                let message = format!("key {} was used for another request", key.key);
                return Reply::refused(ErrorKind::KeyReused, message);
            }
            return reopen(record, now, owner);
        }
        if self.is_full() {
            let message = "too many keyed requests are on record";
            return Reply::refused(ErrorKind::QueueFull, message);
        }
        let state = RequestState::Open(owner);
        self.records.insert(key, RequestRecord { digest, unrepeatable, state, at: now });
        Reply::Opened
    }

    pub(super) fn close(
        &mut self,
        now: GroupTime,
        key: &RequestKey,
        owner: &Owner,
        outcome: RequestOutcome,
    ) -> Reply {
        let Some(record) = self.records.get_mut(key) else {
            return Reply::refused(ErrorKind::NotFound, format!("there is no request {key}"));
        };
        let is_owner = matches!(&record.state, RequestState::Open(open) if open == owner);
        if !is_owner {
            return Reply::Known(record.state.clone());
        }
        record.at = now;
        match outcome {
            RequestOutcome::NotRun => {
                self.records.remove(key);
            }
            RequestOutcome::Unknown => record.state = RequestState::Unknown,
            RequestOutcome::Answered(answer) => {
                record.state = RequestState::Answered(answer);
                self.retain_body(now, key);
            }
        }
        Reply::Done
    }
}

/// Returns the reply for a key that is already recorded.
///
/// A repeatable request with an unknown outcome is opened again for the new owner.
fn reopen(record: &mut RequestRecord, now: GroupTime, owner: Owner) -> Reply {
    let may_run_again = record.state == RequestState::Unknown && !record.unrepeatable;
    if may_run_again {
        record.state = RequestState::Open(owner);
        record.at = now;
        return Reply::Opened;
    }
    match &record.state {
        // The owner sent the command again because it lost the reply.
        RequestState::Open(open) if *open == owner => Reply::Opened,
        state => Reply::Known(state.clone()),
    }
}
