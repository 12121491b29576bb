use std::time::Duration;

use comfreymill_batch::action;
use comfreymill_ledger::command;
use comfreymill_ledger::job;
use comfreymill_ledger::ledger;
use comfreymill_types::id;

use crate::metering::observe;

/// Value of the `part` label of the scheduler's decisions.
const PART: &str = "batch";
const FIRST_ATTEMPT: u32 = 1;

/// Counts a decision of the scheduler; for a task's first start also records its queue wait, and
/// for an eviction counts it by team and class.
pub(super) fn observe_action(
    action: &action::Action,
    ledger: &ledger::Ledger,
    now: command::GroupTime,
) {
    observe::decision(PART, decision_name(action));
    match action {
        action::Action::Start { attempt, .. } if attempt.id.number.get() == FIRST_ATTEMPT => {
            if let Some(job) = find_job(ledger, attempt.id.task) {
                observe::queue_wait(tenant(job), queue_wait(job, now));
            }
        }
        action::Action::Stop { attempt, reason: action::StopReason::Evicted } => {
            if let Some(job) = find_job(ledger, attempt.task) {
                observe::eviction(tenant(job));
            }
        }
        _ => {}
    }
}

fn find_job(ledger: &ledger::Ledger, task: id::TaskId) -> Option<&job::Job> {
    ledger.get_jobs().get(&task.job)
}

/// Returns the team and class of a job as metric labels; both were found in a document when the
/// leader accepted the job.
fn tenant(job: &job::Job) -> observe::Tenant<'_> {
    observe::Tenant { team: Some(&job.spec.team), class: &job.spec.class }
}

fn queue_wait(job: &job::Job, now: command::GroupTime) -> Duration {
    Duration::from_millis(now.as_millis().saturating_sub(job.accepted_at.as_millis()))
}

fn decision_name(action: &action::Action) -> &'static str {
    match action {
        action::Action::Start { .. } => "start",
        action::Action::RecordCheckpoint { .. } => "record-checkpoint",
        action::Action::End { .. } => "end",
        action::Action::Park { .. } => "park",
        action::Action::Unpark { .. } => "unpark",
        action::Action::Stop { reason, .. } => match reason {
            action::StopReason::Evicted => "evict",
            action::StopReason::Cancelled => "cancel",
            action::StopReason::Leaving => "stop-leaving",
        },
        action::Action::Throttle { .. } => "throttle",
        action::Action::TakeCheckpoint { .. } => "take-checkpoint",
        action::Action::Quarantine { .. } => "quarantine",
        action::Action::Release { .. } => "release",
    }
}
