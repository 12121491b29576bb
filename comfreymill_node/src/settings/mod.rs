//! Settings of the processes; each process reads them from one YAML file.
//!
//! Reading a file reports all of its problems at once, each with its line, column and field.
//! [`EntrySettings::read`] and [`ControlSettings::read`] check the file only; [`machine`] checks the
//! resources of the machine, such as folders, key files and addresses in use.

#[macro_use]
mod values;

mod common_settings;
mod control_settings;
mod embedded;
mod entry_settings;
mod gateway_settings;
mod limits;
mod log_file;
mod log_format;
mod log_level;
mod log_settings;
pub mod machine;
mod network;
mod node_settings;
mod packing_settings;
mod regions;
mod scheduler_settings;
mod settings_file;
mod timing;
mod voter;

pub use common_settings::CommonSettings;
pub use control_settings::ControlSettings;
pub use embedded::Embedded;
pub use entry_settings::EntrySettings;
pub use gateway_settings::GatewaySettings;
pub use limits::Limits;
pub use log_file::LogFile;
pub use log_format::LogFormat;
pub use log_level::LogLevel;
pub use log_settings::LogSettings;
pub use network::Network;
pub use node_settings::NodeSettings;
pub use packing_settings::PackingSettings;
pub use regions::Regions;
pub use scheduler_settings::SchedulerSettings;
pub use settings_file::{SettingsError, SettingsFile};
pub use timing::Timing;
pub use voter::Voter;

/// Error for a text that is not one of the words that a setting accepts.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not known: write one of {words}")]
pub struct ParseWordError {
    text: String,
    words: String,
}
