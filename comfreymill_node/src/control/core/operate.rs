use comfreymill_ledger::command;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::time;

use super::core::Core;
use super::waiter::{ReplyFormat, Waiter};
use crate::control::views;
use crate::peer::SessionId;
use crate::protocol;

/// # Operations of operators
impl Core {
    pub(super) fn handle_operation(
        &mut self,
        now: time::Monotonic,
        session: SessionId,
        id: u64,
        operation: &protocol::Operation,
    ) {
        if let protocol::Operation::ChangeVoter { voter, change } = operation {
            self.change_voter(now, session, id, voter, *change);
            return;
        }
        match self.command_for(operation) {
            Ok(Some(command)) => {
                self.propose(now, command, Waiter::Call { session, id, format: ReplyFormat::Json });
            }
            Ok(None) => {
                let result = self.render_view(now, operation).map(protocol::Answer::Json);
                self.sessions.reply(session, id, &result);
            }
            Err(error) => self.sessions.reply(session, id, &Err(error)),
        }
    }

    /// Returns the command for an operation, or `None` if the operation only reads state.
    fn command_for(
        &self,
        operation: &protocol::Operation,
    ) -> Result<Option<command::Command>, error::Error> {
        let command = match operation.clone() {
            protocol::Operation::SubmitDocument { operation, environment, replaces, text } => {
                let document = check_document(&environment, &text)?;
                self.check_names(&document)?;
                let version = document.version;
                command::Command::SubmitDocument { operation, environment, version, replaces, text }
            }
            protocol::Operation::PromoteDocument { operation, environment, digest } => {
                command::Command::PromoteDocument { operation, environment, digest }
            }
            protocol::Operation::SubmitJob { key, spec } => {
                let unrepeatable = self.check_job(&key, &spec)?;
                command::Command::SubmitJob { key, spec, unrepeatable }
            }
            protocol::Operation::CancelJob(job) => command::Command::CancelJob { job },
            protocol::Operation::ReleaseTask(task) => command::Command::ReleaseTask { task },
            protocol::Operation::GetDocument { .. }
            | protocol::Operation::EnvironmentStatus { .. }
            | protocol::Operation::GetJob(_)
            | protocol::Operation::ListJobs
            | protocol::Operation::Explain(_)
            | protocol::Operation::ChangeVoter { .. }
            | protocol::Operation::Status => return Ok(None),
        };
        Ok(Some(command))
    }

    fn render_view(
        &self,
        now: time::Monotonic,
        operation: &protocol::Operation,
    ) -> Result<bytes::Bytes, error::Error> {
        let ledger = &self.ledger;
        let leader = self.leader.as_ref();
        match operation {
            protocol::Operation::GetDocument { environment, stage } => {
                views::document(ledger, environment, *stage)
            }
            protocol::Operation::EnvironmentStatus { environment } => {
                views::environment_status(ledger, leader, environment, now)
            }
            protocol::Operation::GetJob(job) => views::job(ledger, *job),
            protocol::Operation::Explain(task) => views::explain(ledger, leader, *task),
            protocol::Operation::ListJobs => Ok(views::jobs(ledger)),
            _ => Ok(views::status(&self.replica.status(now), &self.voters, ledger, leader, now)),
        }
    }

    /// Checks a job against the document in force and returns whether its tasks may run at most
    /// once.
    fn check_job(
        &self,
        key: &id::IdempotencyKey,
        spec: &comfreymill_ledger::job::JobSpec,
    ) -> Result<bool, error::Error> {
        let no_class = || {
            let message =
                format!("{}/{} has no task class {}", spec.environment, spec.stage, spec.class);
            error::Error::new(error::ErrorKind::NotFound, message).field("class")
        };
        let leader = self.leader.as_ref().ok_or_else(no_class)?;
        let stage_key =
            protocol::EnvironmentStage { environment: spec.environment.clone(), stage: spec.stage };
        let document = leader.get_document(&stage_key).ok_or_else(no_class)?;
        let class = document.get_class(&spec.class).ok_or_else(no_class)?;
        if class.as_task().is_none() {
            return Err(no_class());
        }
        if document.get_team(&spec.team).is_none() {
            let message = format!("{stage_key} has no team {}", spec.team);
            return Err(error::Error::new(error::ErrorKind::NotFound, message).field("team"));
        }
        // The ledger answers a resent job with its recorded result, even if the same job would now
        // be rejected.
        if !self.ledger.is_job_key_known(key) {
            leader.check_submission(spec)?;
        }
        Ok(class.unrepeatable)
    }

    /// Checks that no other environment has a class with the same name as one in the document.
    fn check_names(&self, document: &document::Environment) -> Result<(), error::Error> {
        let Some(leader) = &self.leader else { return Ok(()) };
        for other in leader.get_documents().filter(|other| other.name != document.name) {
            let taken =
                document.classes.iter().find(|class| other.get_class(&class.name).is_some());
            if let Some(class) = taken {
                let message =
                    format!("environment {} already has a class {}", other.name, class.name);
                let error = error::Error::new(error::ErrorKind::Conflict, message);
                return Err(error.field("classes"));
            }
        }
        Ok(())
    }
}

fn check_document(
    environment: &id::EnvironmentName,
    text: &str,
) -> Result<document::Environment, error::Error> {
    let invalid = |field: &str, message: String| {
        error::Error::new(error::ErrorKind::InvalidDocument, message).field(field)
    };
    let document = document::Environment::parse(text.as_bytes()).map_err(|problems| {
        let all: Vec<_> = problems.iter().map(ToString::to_string).collect();
        invalid(&problems[0].field, all.join("; "))
    })?;
    if document.name != *environment {
        let message =
            format!("the document is of environment {}, not {environment}", document.name);
        return Err(invalid("name", message));
    }
    Ok(document)
}
