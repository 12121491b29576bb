use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::id;
use comfreymill_types::size;

use super::Scheduler;

/// # Admission
impl Scheduler {
    /// Checks that a task of this team, class and size could run.
    ///
    /// # Errors
    ///
    /// Returns `NotFound` if no document in force defines the class as a task class. Returns
    /// `NeverFits` if the size exceeds the quota of the team, or if no known worker that the rule
    /// of the class allows can hold it. A leader that does not know its workers yet skips this
    /// last check.
    pub fn check_submission(
        &self,
        stage: document::Stage,
        team: &id::TeamName,
        class: &id::ClassName,
        size: Option<size::Resources>,
    ) -> Result<(), error::Error> {
        let spec = self.catalog.find_spec(stage, class).ok_or_else(|| {
            let message = format!("task class `{class}` is not in force in {stage}");
            error::Error::new(error::ErrorKind::NotFound, message).field("class")
        })?;
        let needed = size.unwrap_or(spec.batch.size);
        if let Some(quota) = self.catalog.find_quota(stage, team)
            && !needed.fits_in(&quota)
        {
            let message =
                format!("the task needs {needed} and the quota of team `{team}` is {quota}");
            return Err(error::Error::new(error::ErrorKind::NeverFits, message).field("size"));
        }
        if self.is_settled() && !self.fleet.can_ever_hold(&spec.rule, &needed) {
            let largest = self.fleet.nearest_room(&spec.rule, &needed);
            let message = format!(
                "the task needs {needed} and the nearest allowed worker has {largest} to spare"
            );
            return Err(error::Error::new(error::ErrorKind::NeverFits, message).field("size"));
        }
        Ok(())
    }
}
