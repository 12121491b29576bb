use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::size;

/// What a submitter asks to run.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Environment of the class.
    pub environment: id::EnvironmentName,
    /// Stage of the environment.
    #[serde(default = "default_stage")]
    pub stage: document::Stage,
    /// Team that pays with its quota.
    pub team: id::TeamName,
    /// Class of the tasks.
    pub class: id::ClassName,
    /// Number of tasks.
    #[serde(default = "default_tasks")]
    pub tasks: u32,
    /// Declared need of one task; none takes that of the class.
    #[serde(default)]
    pub size: Option<size::Resources>,
    /// What the worker is told, opaque to the scheduler.
    #[serde(default)]
    pub payload: String,
}

fn default_stage() -> document::Stage {
    document::Stage::Production
}

fn default_tasks() -> u32 {
    1
}
