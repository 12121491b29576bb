use std::io;
use std::path;
use std::thread;

use signal_hook::consts;
use signal_hook::iterator;

use super::TARGET;
use crate::settings;

/// Starts the thread that reloads the level on each SIGHUP.
pub(super) fn watch(file: path::PathBuf) -> io::Result<(iterator::Handle, thread::JoinHandle<()>)> {
    let mut signals = iterator::Signals::new([consts::SIGHUP])?;
    let handle = signals.handle();
    let thread = thread::Builder::new().name("log-level".to_owned()).spawn(move || {
        for _ in signals.forever() {
            reload_level(&file);
        }
    })?;
    Ok((handle, thread))
}

fn reload_level(file: &path::Path) {
    let level = match settings::SettingsFile::load_file_only(file) {
        Ok(settings) => settings.get_log().get_level(),
        Err(error) => {
            log::error!(target: TARGET, "log level unchanged, settings are invalid: {error}");
            return;
        }
    };
    log::set_max_level(level.to_filter());
    log::info!(target: TARGET, "log level set to {level}");
}
