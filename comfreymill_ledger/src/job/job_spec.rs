use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

/// Specification of a job, as submitted.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Environment of the class.
    pub environment: id::EnvironmentName,
    /// Stage of the environment.
    #[serde(default = "default_stage")]
    pub stage: document::Stage,
    /// Team whose quota the job uses.
    pub team: id::TeamName,
    /// Class of the tasks.
    pub class: id::ClassName,
    /// Number of tasks.
    #[serde(default = "default_tasks")]
    pub tasks: u32,
    /// Resources that one task needs; `None` uses those of the class.
    #[serde(default)]
    pub size: Option<size::Resources>,
    /// Data passed to the worker, opaque to the scheduler.
    #[serde(default)]
    pub payload: String,
}

fn default_stage() -> document::Stage {
    document::Stage::Production
}

fn default_tasks() -> u32 {
    1
}
