use std::path;

use comfreymill_node::command;
use comfreymill_node::settings;
use comfreymill_types::error;

/// Programs of this binary.
pub(crate) struct NodePrograms;

impl command::Programs for NodePrograms {
    fn run_entry(&self, _settings: settings::EntrySettings) -> Result<(), error::Error> {
        Err(not_built("entry"))
    }

    fn run_control(&self, _settings: settings::ControlSettings) -> Result<(), error::Error> {
        Err(not_built("control"))
    }

    fn run_embedded(&self, _folder: &path::Path) -> Result<(), error::Error> {
        Err(not_built("serve"))
    }
}

fn not_built(program: &str) -> error::Error {
    let message = format!("`{program}` is not part of this build yet");
    error::Error::new(error::ErrorKind::Unsupported, message)
}
