use std::io;
use std::path;

use comfreymill_node::command;
use comfreymill_node::control;
use comfreymill_node::embedded;
use comfreymill_node::entry;
use comfreymill_node::gateway;
use comfreymill_node::runtime;
use comfreymill_node::scheduler;
use comfreymill_node::settings;
use comfreymill_types::error;

/// Implementation of the programs by the crate `comfreymill_node`.
pub(crate) struct NodePrograms;

impl command::Programs for NodePrograms {
    fn run_entry(&self, settings: settings::EntrySettings) -> Result<(), error::Error> {
        let stop = runtime::stop_on_signals().map_err(|error| signal_error(&error))?;
        entry::run(&settings, &stop)
    }

    fn run_control(&self, settings: settings::ControlSettings) -> Result<(), error::Error> {
        let stop = runtime::stop_on_signals().map_err(|error| signal_error(&error))?;
        control::run(&settings, &stop).map_err(error::Error::from)
    }

    fn run_gateway(&self, settings: settings::GatewaySettings) -> Result<(), error::Error> {
        let stop = runtime::stop_on_signals().map_err(|error| signal_error(&error))?;
        gateway::run(&settings, &stop)
    }

    fn run_scheduler(&self, settings: settings::SchedulerSettings) -> Result<(), error::Error> {
        let stop = runtime::stop_on_signals().map_err(|error| signal_error(&error))?;
        scheduler::run(&settings, &stop)
    }

    fn run_embedded(&self, folder: &path::Path) -> Result<(), error::Error> {
        let stop = runtime::stop_on_signals().map_err(|error| signal_error(&error))?;
        embedded::run(&settings::Embedded::new(folder), &stop)
    }
}

fn signal_error(error: &io::Error) -> error::Error {
    let message = format!("cannot install the signal handlers: {error}");
    error::Error::new(error::ErrorKind::Internal, message)
}
