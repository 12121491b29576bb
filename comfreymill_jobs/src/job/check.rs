use super::JobSpec;

/// Maximum length of a payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4_000;
/// Maximum number of tasks of a job at a time, so that one job cannot exhaust a control process's
/// memory.
pub(super) const MAX_TASKS: usize = 10_000;

/// Error returned for an invalid job specification.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error, serde::Serialize, serde::Deserialize)]
#[error("{field}: {reason}")]
pub struct SpecError {
    /// Path of the invalid field.
    pub field: String,
    /// Why the field is invalid.
    pub reason: String,
}

/// Validates a job specification.
///
/// # Errors
///
/// Returns an error if a field is out of range, if a step depends on itself or a later step, or if
/// several tasks have to run together, which is not supported.
pub fn check(spec: &JobSpec) -> Result<(), SpecError> {
    if spec.payload.len() > MAX_PAYLOAD_BYTES {
        return invalid("payload", format!("longer than {MAX_PAYLOAD_BYTES} bytes"));
    }
    if spec.steps.is_empty() {
        return invalid("steps", "at least one step is required".to_owned());
    }
    let mut tasks = 0;
    for (number, step) in spec.steps.iter().enumerate() {
        tasks += usize::from(step.count);
        if step.count == 0 {
            return invalid(&format!("steps[{number}].count"), "must be above 0".to_owned());
        }
        if step.is_gang && step.count > 1 {
            let reason = "tasks that work only together are not supported: no run would be complete \
                          again after a worker is lost";
            return invalid(&format!("steps[{number}].gang"), reason.to_owned());
        }
        if step.depends_on.iter().any(|dependency| usize::from(*dependency) >= number) {
            let field = format!("steps[{number}].depends_on");
            return invalid(&field, "a step may depend only on earlier steps".to_owned());
        }
    }
    if tasks > MAX_TASKS {
        return invalid("steps", format!("{tasks} tasks exceed the limit of {MAX_TASKS}"));
    }
    if spec.occurrences() == 0 {
        return invalid("schedule.count", "must be above 0".to_owned());
    }
    Ok(())
}

fn invalid(field: &str, reason: String) -> Result<(), SpecError> {
    Err(SpecError { field: field.to_owned(), reason })
}
