use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use comfreymill_types::id;

use super::Requests;
use crate::codec;
use crate::command;
use crate::document;
use crate::grant;
use crate::job;
use crate::operation;

/// Replicated state of a group.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Ledger {
    pub(super) applied: u64,
    pub(super) now: command::GroupTime,
    pub(super) documents_revision: u64,
    pub(super) environments: BTreeMap<id::EnvironmentName, document::EnvironmentState>,
    pub(super) operations: operation::OperationLog,
    pub(super) next_job: u64,
    pub(super) jobs: BTreeMap<id::JobId, job::Job>,
    pub(super) job_keys: BTreeMap<id::IdempotencyKey, SubmittedJob>,
    /// Finished and cancelled jobs, oldest first.
    pub(super) ended_jobs: VecDeque<id::JobId>,
    /// Keys of dropped jobs that are still recognized, oldest first.
    pub(super) ended_keys: VecDeque<id::IdempotencyKey>,
    pub(super) requests: Requests,
    #[serde(with = "grant_list")]
    pub(super) grants: BTreeMap<grant::GrantKey, grant::Grant>,
}

/// Job accepted under an idempotency key, with the digest of its specification.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SubmittedJob {
    pub(super) job: id::JobId,
    pub(super) digest: id::Digest,
}

impl Ledger {
    /// Applies the entry at log index `index` and returns the reply to its command.
    pub fn apply(&mut self, index: u64, entry: command::Entry) -> command::Reply {
        debug_assert!(index > self.applied, "entries are applied in log order");
        self.applied = index;
        self.now = self.now.max(entry.at);
        match entry.command {
            command::Command::SubmitDocument {
                operation,
                environment,
                version,
                replaces,
                text,
            } => self.submit_document(operation, environment, version, replaces, &text),
            command::Command::PromoteDocument { operation, environment, digest } => {
                self.promote_document(operation, &environment, digest)
            }
            command::Command::SubmitJob { key, spec, unrepeatable } => {
                self.submit_job(key, spec, unrepeatable)
            }
            command::Command::CancelJob { job } => self.cancel_job(job),
            command::Command::StartAttempt { attempt, worker, incarnation, reserved } => {
                self.start_attempt(attempt, worker, incarnation, reserved)
            }
            command::Command::RecordCheckpoint { attempt, checkpoint } => {
                self.record_checkpoint(attempt, checkpoint)
            }
            command::Command::EndAttempt { attempt, outcome, checkpoint, parking } => {
                self.end_attempt(attempt, &outcome, checkpoint, parking)
            }
            command::Command::ParkTask { task, parking } => self.park_task(task, parking),
            command::Command::ReleaseTask { task } => self.release_task(task),
            command::Command::OpenRequest { key, digest, owner, unrepeatable } => {
                self.requests.open(self.now, key, digest, owner, unrepeatable)
            }
            command::Command::CloseRequest { key, owner, outcome } => {
                self.requests.close(self.now, &key, &owner, outcome)
            }
            command::Command::ChangeGrants { changes } => self.change_grants(changes),
        }
    }
}

impl Ledger {
    /// Returns the log index of the last applied entry.
    pub fn get_applied(&self) -> u64 {
        self.applied
    }

    /// Returns the latest group time of the applied entries.
    pub fn get_now(&self) -> command::GroupTime {
        self.now
    }

    /// Returns the log index of the last change to any document.
    pub fn get_documents_revision(&self) -> u64 {
        self.documents_revision
    }

    /// Returns the documents of every environment, by environment name.
    pub fn get_environments(&self) -> &BTreeMap<id::EnvironmentName, document::EnvironmentState> {
        &self.environments
    }

    /// Returns the jobs by id.
    pub fn get_jobs(&self) -> &BTreeMap<id::JobId, job::Job> {
        &self.jobs
    }

    /// Returns whether a job was accepted under `key`. Keys of dropped jobs stay known for a time.
    pub fn is_job_key_known(&self, key: &id::IdempotencyKey) -> bool {
        self.job_keys.contains_key(key)
    }

    /// Returns the task with the id `task`.
    pub fn get_task(&self, task: id::TaskId) -> Option<&job::Task> {
        let index = usize::try_from(task.index).ok()?;
        self.jobs.get(&task.job)?.tasks.get(index)
    }

    /// Returns the records of keyed requests.
    pub fn get_requests(&self) -> &Requests {
        &self.requests
    }

    /// Returns the grants by executor and entry.
    pub fn get_grants(&self) -> &BTreeMap<grant::GrantKey, grant::Grant> {
        &self.grants
    }
}

impl Ledger {
    /// Encodes the state as a snapshot.
    pub fn to_snapshot(&self) -> Bytes {
        codec::encode(self)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an encoded ledger.
    pub fn from_snapshot(buf: &[u8]) -> Result<Self, codec::CodecError> {
        codec::decode(buf)
    }
}

/// Serializes the grants as a list, since their key is not text.
mod grant_list {
    use std::collections::BTreeMap;

    use serde::{Deserialize as _, Deserializer, Serializer};

    use crate::grant;

    pub(super) fn serialize<S>(
        grants: &BTreeMap<grant::GrantKey, grant::Grant>,
        serializer: S,
    ) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_seq(grants.values())
    }

    pub(super) fn deserialize<'de, D>(
        deserializer: D,
    ) -> Result<BTreeMap<grant::GrantKey, grant::Grant>, D::Error>
    where
        D: Deserializer<'de>,
    {
        let grants = Vec::<grant::Grant>::deserialize(deserializer)?;
        Ok(grants.into_iter().map(|grant| (grant.key.clone(), grant)).collect())
    }
}
