//! Seeds that the settings file names later than at the start of a process.
//!
//! The file may change at any time, with or without a signal. Its seeds matter only to a process that
//! knows no leader, so it is read again only then.

use std::path;
use std::time::Duration;

use crate::jobcall;
use crate::settings;

/// Interval between readings of the settings file while no leader is known.
const READ_PERIOD: Duration = Duration::from_secs(2);

/// Uses the seeds that `file` names for as long as no leader is known.
pub(crate) async fn follow(file: path::PathBuf, leader: jobcall::Client) {
    loop {
        monoio::time::sleep(READ_PERIOD).await;
        if leader.is_connected() {
            continue;
        }
        let seeds = match settings::SettingsFile::load_file_only(&file) {
            Ok(settings) => settings.get_node().map(|node| node.get_seeds().to_vec()),
            Err(error) => {
                log::warn!(target: "link", reason:% = error; "seeds unchanged, settings are invalid");
                continue;
            }
        };
        if let Some(seeds) = seeds
            && leader.set_seeds(&seeds)
        {
            log::info!(target: "link", seeds:? = seeds; "the seeds have changed");
        }
    }
}
