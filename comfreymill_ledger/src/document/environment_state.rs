use comfreymill_types::document;

use super::DocumentRecord;

/// Current document of each stage of one environment.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EnvironmentState {
    /// Current document of the trial stage.
    pub trial: Option<DocumentRecord>,
    /// Current document of the production stage.
    pub production: Option<DocumentRecord>,
}

impl EnvironmentState {
    /// Returns the current document of `stage`.
    pub fn get(&self, stage: document::Stage) -> Option<&DocumentRecord> {
        match stage {
            document::Stage::Trial => self.trial.as_ref(),
            document::Stage::Production => self.production.as_ref(),
        }
    }
}
