use comfreymill_types::document;

use super::DocumentRecord;

/// Documents of one environment by stage.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EnvironmentState {
    /// Document in the trial stage.
    pub trial: Option<DocumentRecord>,
    /// Document in production.
    pub production: Option<DocumentRecord>,
}

impl EnvironmentState {
    /// Document in force in `stage`.
    pub fn get(&self, stage: document::Stage) -> Option<&DocumentRecord> {
        match stage {
            document::Stage::Trial => self.trial.as_ref(),
            document::Stage::Production => self.production.as_ref(),
        }
    }
}
