use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::command::GroupTime;
use crate::request::{RequestKey, RequestRecord, RequestState};

const MAX_RECORDS: usize = 200_000;
const MAX_RETAINED_BODY_BYTES: usize = 8 << 20;
const MAX_BODY_BYTES: usize = 16 << 10;
const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Records of keyed requests, bounded in number, age and total size of the bodies.
///
/// The age limit applies only to answered requests.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    #[serde(with = "record_list")]
    pub(super) records: BTreeMap<RequestKey, RequestRecord>,
    /// Answered requests by the time of their answer, oldest first.
    answered: VecDeque<(GroupTime, RequestKey)>,
    /// Requests whose answer body is retained, oldest first.
    kept: VecDeque<RequestKey>,
    /// Total size of the retained bodies, in bytes.
    kept_bytes: usize,
}

impl Requests {
    /// Largest answer body that is retained, in bytes.
    pub const MAX_BODY_BYTES: usize = MAX_BODY_BYTES;

    /// Returns the record of `key`.
    pub fn get(&self, key: &RequestKey) -> Option<&RequestRecord> {
        self.records.get(key)
    }

    /// Returns an iterator over the keys and their records.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestKey, &RequestRecord)> {
        self.records.iter()
    }

    pub(super) fn is_full(&self) -> bool {
        self.records.len() >= MAX_RECORDS
    }

    /// Drops the records of answers that are older than [`RETENTION`].
    pub(super) fn expire(&mut self, now: GroupTime) {
        while let Some((at, _)) = self.answered.front()
            && at.saturating_add(RETENTION) < now
            && let Some((_, key)) = self.answered.pop_front()
        {
            self.drop_body(&key);
            self.records.remove(&key);
        }
    }

    /// Registers a new answer for expiry and drops the oldest bodies while their total size
    /// exceeds [`MAX_RETAINED_BODY_BYTES`].
    pub(super) fn retain_body(&mut self, now: GroupTime, key: &RequestKey) {
        self.answered.push_back((now, key.clone()));
        let bytes = body_bytes(self.records.get(key));
        if bytes > MAX_BODY_BYTES {
            self.clear_body(key);
            return;
        }
        self.kept_bytes += bytes;
        self.kept.push_back(key.clone());
        while self.kept_bytes > MAX_RETAINED_BODY_BYTES
            && let Some(oldest) = self.kept.pop_front()
        {
            self.drop_body(&oldest);
        }
    }

    fn drop_body(&mut self, key: &RequestKey) {
        self.kept_bytes -= body_bytes(self.records.get(key));
        self.clear_body(key);
    }

    fn clear_body(&mut self, key: &RequestKey) {
        let state = self.records.get_mut(key).map(|record| &mut record.state);
        if let Some(RequestState::Answered(answer)) = state {
            answer.body = None;
        }
    }
}

fn body_bytes(record: Option<&RequestRecord>) -> usize {
    match record.map(|record| &record.state) {
        Some(RequestState::Answered(answer)) => answer.body.as_ref().map_or(0, bytes::Bytes::len),
        _ => 0,
    }
}

/// Serializes the records as a list, since their key is not text.
mod record_list {
    use std::collections::BTreeMap;

    use serde::{Deserialize as _, Deserializer, Serializer};

    use crate::request::{RequestKey, RequestRecord};

    pub(super) fn serialize<S>(
        records: &BTreeMap<RequestKey, RequestRecord>,
        serializer: S,
    ) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_seq(records)
    }

    pub(super) fn deserialize<'de, D>(
        deserializer: D,
    ) -> Result<BTreeMap<RequestKey, RequestRecord>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let records = Vec::<(RequestKey, RequestRecord)>::deserialize(deserializer)?;
        Ok(records.into_iter().collect())
    }
}
