use super::JobSpec;

/// Longest payload in bytes.
const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Most tasks of a job, so that one job can't fill a control process's memory.
const MAX_TASKS: usize = 10_000;

/// A job can't be taken as it is.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error, serde::Serialize, serde::Deserialize)]
#[error("{field}: {reason}")]
pub struct SpecError {
    /// Field at fault.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Checks that a job's parts fit each other.
///
/// # Errors
///
/// A field is out of range, or a step depends on itself or a later one.
pub fn check(spec: &JobSpec) -> Result<(), SpecError> {
    if spec.payload.len() > MAX_PAYLOAD_BYTES {
        return fault("payload", format!("longer than {MAX_PAYLOAD_BYTES} bytes"));
    }
    if spec.steps.is_empty() {
        return fault("steps", "at least one is needed".to_owned());
    }
    let mut tasks = 0;
    for (number, step) in spec.steps.iter().enumerate() {
        tasks += usize::from(step.count);
        if step.count == 0 {
            return fault(&format!("steps[{number}].count"), "must be above 0".to_owned());
        }
        if step.depends_on.iter().any(|it| usize::from(*it) >= number) {
            let field = format!("steps[{number}].depends_on");
            return fault(&field, "names this step or a later one".to_owned());
        }
    }
    if tasks > MAX_TASKS {
        return fault("steps", format!("{tasks} tasks are more than {MAX_TASKS}"));
    }
    if spec.occurrences() == 0 {
        return fault("schedule.count", "must be above 0".to_owned());
    }
    Ok(())
}

fn fault(field: &str, reason: String) -> Result<(), SpecError> {
    Err(SpecError { field: field.to_owned(), reason })
}
