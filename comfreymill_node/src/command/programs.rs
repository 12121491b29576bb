use std::path;

use comfreymill_types::error;

use crate::settings;

/// Programs that the command line starts; each returns when its process is to exit.
pub trait Programs {
    /// Runs an entry process.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot start or has to stop.
    fn run_entry(&self, settings: settings::EntrySettings) -> Result<(), error::Error>;

    /// Runs a control process.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot start or has to stop.
    fn run_control(&self, settings: settings::ControlSettings) -> Result<(), error::Error>;

    /// Runs a gateway process.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot start or has to stop.
    fn run_gateway(&self, settings: settings::GatewaySettings) -> Result<(), error::Error>;

    /// Runs a scheduler process.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot start or has to stop.
    fn run_scheduler(&self, settings: settings::SchedulerSettings) -> Result<(), error::Error>;

    /// Runs an entry and one voter in one process with their state in `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot start or has to stop.
    fn run_embedded(&self, folder: &path::Path) -> Result<(), error::Error>;
}
