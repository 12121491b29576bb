use comfreymill_types::error::ErrorKind;
use comfreymill_types::id;

use super::Ledger;
use crate::command::Reply;
use crate::document;

impl Ledger {
    pub(super) fn submit_document(
        &mut self,
        operation: id::OperationId,
        environment: id::EnvironmentName,
        version: id::Version,
        replaces: id::Version,
        text: &str,
    ) -> Reply {
        let digest = id::Digest::of(text.as_bytes());
        let request = id::Digest::of(
            format!("submit {environment} {version} {replaces} {digest}").as_bytes(),
        );
        if let Some(reply) = self.first_reply(&operation, request) {
            return reply;
        }
        let reply = self.try_submit(environment, version, replaces, digest, text);
        self.operations.record(operation, request, reply.clone());
        reply
    }

    pub(super) fn promote_document(
        &mut self,
        operation: id::OperationId,
        environment: &id::EnvironmentName,
        digest: id::Digest,
    ) -> Reply {
        let request = id::Digest::of(format!("promote {environment} {digest}").as_bytes());
        if let Some(reply) = self.first_reply(&operation, request) {
            return reply;
        }
        let reply = self.try_promote(environment, digest);
        self.operations.record(operation, request, reply.clone());
        reply
    }

    fn first_reply(&self, operation: &id::OperationId, request: id::Digest) -> Option<Reply> {
        let (first, reply) = self.operations.get(operation)?;
        if first == request {
            return Some(reply.clone());
        }
        let message = format!("operation {operation} was another change");
        Some(Reply::refused(ErrorKind::KeyReused, message))
    }

    fn try_submit(
        &mut self,
        environment: id::EnvironmentName,
        version: id::Version,
        replaces: id::Version,
        digest: id::Digest,
        text: &str,
    ) -> Reply {
        let state = self.environments.get(&environment);
        let current = state.and_then(|state| state.trial.as_ref());
        let current_version = current.map_or(id::Version::NONE, |record| record.version);
        if replaces != current_version || version <= current_version {
            let message = format!(
                "version {version} replaces {replaces}, but version {current_version} is present"
            );
            return Reply::refused(ErrorKind::Conflict, message);
        }
        let revision = self.applied;
        let at = self.now;
        let record = document::DocumentRecord {
            version,
            replaced: current_version,
            digest,
            text: text.into(),
            revision,
            at,
        };
        self.documents_revision = revision;
        self.environments.entry(environment).or_default().trial = Some(record);
        Reply::Document { version, digest, revision }
    }

    fn try_promote(&mut self, environment: &id::EnvironmentName, digest: id::Digest) -> Reply {
        let Some(state) = self.environments.get_mut(environment) else {
            let message = format!("there is no environment {environment}");
            return Reply::refused(ErrorKind::NotFound, message);
        };
        let already_promoted = state.production.as_ref().filter(|record| record.digest == digest);
        if let Some(record) = already_promoted {
            let (version, revision) = (record.version, record.revision);
            return Reply::Document { version, digest, revision };
        }
        let Some(trial) = state.trial.as_ref().filter(|record| record.digest == digest) else {
            let message = format!("digest {digest} is not the document in trial");
            return Reply::refused(ErrorKind::Conflict, message);
        };
        let previous = state.production.as_ref().map(|record| record.version);
        let record = document::DocumentRecord {
            replaced: previous.unwrap_or(id::Version::NONE),
            revision: self.applied,
            at: self.now,
            ..trial.clone()
        };
        let reply = Reply::Document { version: record.version, digest, revision: record.revision };
        state.production = Some(record);
        self.documents_revision = self.applied;
        reply
    }
}
