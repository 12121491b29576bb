//! Binary of comfreymill.

use std::process;

use comfreymill_node::runtime;
use comfreymill_node::settings;

fn main() -> process::ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let file = settings::SettingsFile::load(args[3].as_ref()).expect("settings");
    let stop = runtime::stop_on_signals().expect("signals");
    let end = match file {
        settings::SettingsFile::Entry(settings) => {
            comfreymill_node::entry::run(&settings, &stop).map_err(|e| e.to_string())
        }
        settings::SettingsFile::Control(settings) => {
            comfreymill_node::control::run(&settings, &stop).map_err(|e| e.to_string())
        }
    };
    if let Err(e) = end {
        eprintln!("{e}");
        return process::ExitCode::FAILURE;
    }
    process::ExitCode::SUCCESS
}
