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

/// Programs of this binary.
pub(crate) struct NodePrograms;

impl command::Programs for NodePrograms {
    fn run_entry(&self, settings: settings::EntrySettings) -> Result<(), error::Error> {
        let stop = runtime::stop_on_signals().map_err(|error| no_signals(&error))?;
        entry::run(&settings, &stop)
    }

    fn run_control(&self, settings: settings::ControlSettings) -> Result<(), error::Error> {
        let stop = runtime::stop_on_signals().map_err(|error| no_signals(&error))?;
        control::run(&settings, &stop).map_err(error::Error::from)
    }

    fn run_gateway(&self, settings: settings::GatewaySettings) -> Result<(), error::Error> {
        let stop = runtime::stop_on_signals().map_err(|error| no_signals(&error))?;
        gateway::run(&settings, &stop)
    }

    fn run_scheduler(&self, settings: settings::SchedulerSettings) -> Result<(), error::Error> {
        let stop = runtime::stop_on_signals().map_err(|error| no_signals(&error))?;
        scheduler::run(&settings, &stop)
    }

    fn run_embedded(&self, folder: &path::Path) -> Result<(), error::Error> {
        let stop = runtime::stop_on_signals().map_err(|error| no_signals(&error))?;
        embedded::run(&settings::Embedded::new(folder), &stop)
    }
}

fn no_signals(error: &io::Error) -> error::Error {
    let message = format!("signals cannot be taken over: {error}");
    error::Error::new(error::ErrorKind::Internal, message)
}
