use std::path;

use comfreymill_types::error;
use comfreymill_types::error::ErrorKind;

use super::client::Client;
use super::flags::{Options, general};
use super::request::Request;
use super::{Output, Programs, check, render, story};
use crate::logs;
use crate::settings;

const DEFAULT_DATA_FOLDER: &str = "data";

/// Runs a program or a general command.
pub(super) fn execute<P>(verb: general::ComfreymillCmd, options: &Options, programs: &P) -> Output
where
    P: Programs,
{
    match verb {
        general::ComfreymillCmd::Entry(flags) => run_entry(&flags.settings, programs),
        general::ComfreymillCmd::Control(flags) => run_control(&flags.settings, programs),
        general::ComfreymillCmd::Gateway(flags) => run_gateway(&flags.settings, programs),
        general::ComfreymillCmd::Scheduler(flags) => run_scheduler(&flags.settings, programs),
        general::ComfreymillCmd::Serve(flags) => run_embedded(flags, programs),
        general::ComfreymillCmd::Check(flags) => check::execute(&flags, options),
        general::ComfreymillCmd::Env(_)
        | general::ComfreymillCmd::Job(_)
        | general::ComfreymillCmd::Zone(_) => {
            Err(error::Error::new(ErrorKind::BadRequest, "a command is required"))
        }
        general::ComfreymillCmd::Status(_) => send(&Request::get("/v1/status"), options),
        general::ComfreymillCmd::Explain(flags) => {
            send(&Request::get(format!("/v1/explain/{}", flags.id)), options)
        }
        general::ComfreymillCmd::Voter(flags) => {
            send(&Request::post(format!("/v1/voters/{}/{}", flags.name, flags.change)), options)
        }
        general::ComfreymillCmd::Story(flags) => story::execute(&flags.id, &flags.files),
        general::ComfreymillCmd::Drain(_) => drain(options),
    }
}

fn run_entry<P>(file: &path::Path, programs: &P) -> Output
where
    P: Programs,
{
    match load(file)? {
        settings::SettingsFile::Entry(entry) => {
            let _logs = logs::start(entry.get_common().get_log(), Some(file))?;
            programs.run_entry(entry).map(|()| String::new())
        }
        other => Err(wrong_program(file, other.get_program())),
    }
}

fn run_control<P>(file: &path::Path, programs: &P) -> Output
where
    P: Programs,
{
    match load(file)? {
        settings::SettingsFile::Control(control) => {
            let _logs = logs::start(control.get_common().get_log(), Some(file))?;
            programs.run_control(control).map(|()| String::new())
        }
        other => Err(wrong_program(file, other.get_program())),
    }
}

fn run_gateway<P>(file: &path::Path, programs: &P) -> Output
where
    P: Programs,
{
    match load_file_only(file)? {
        settings::SettingsFile::Gateway(gateway) => {
            let _logs = logs::start(gateway.get_node().get_log(), Some(file))?;
            programs.run_gateway(gateway).map(|()| String::new())
        }
        other => Err(wrong_program(file, other.get_program())),
    }
}

fn run_scheduler<P>(file: &path::Path, programs: &P) -> Output
where
    P: Programs,
{
    match load_file_only(file)? {
        settings::SettingsFile::Scheduler(scheduler) => {
            let _logs = logs::start(scheduler.get_node().get_log(), Some(file))?;
            programs.run_scheduler(scheduler).map(|()| String::new())
        }
        other => Err(wrong_program(file, other.get_program())),
    }
}

fn run_embedded<P>(flags: general::Serve, programs: &P) -> Output
where
    P: Programs,
{
    let folder = flags.data_folder.unwrap_or_else(|| DEFAULT_DATA_FOLDER.into());
    let _logs = logs::start(&settings::LogSettings::default(), None)?;
    programs.run_embedded(&folder).map(|()| String::new())
}

fn load(file: &path::Path) -> Result<settings::SettingsFile, error::Error> {
    settings::SettingsFile::load(file).map_err(|error| settings_error(&error))
}

/// Loads settings without checking the machine: a probe file left behind by a power failure would be
/// mistaken for corruption of the state.
fn load_file_only(file: &path::Path) -> Result<settings::SettingsFile, error::Error> {
    settings::SettingsFile::load_file_only(file).map_err(|error| settings_error(&error))
}

fn settings_error(error: &settings::SettingsError) -> error::Error {
    let message = format!("the settings cannot be used:\n{error}");
    error::Error::new(ErrorKind::InvalidSettings, message)
}

fn wrong_program(file: &path::Path, program: &str) -> error::Error {
    let file = file.display();
    let message = format!("`{file}` has the settings of `{program}`: run `comfreymill {program}`");
    error::Error::new(ErrorKind::InvalidSettings, message)
}

fn send(request: &Request, options: &Options) -> Output {
    let body = Client::new(options)?.call(request)?;
    render::answer(&body, options.output)
}

fn drain(options: &Options) -> Output {
    let client = Client::new(options)?;
    if client.get_addresses().len() != 1 || options.operators.is_empty() {
        let message = "drain stops one node: name it with one --operators ADDRESS";
        return Err(error::Error::new(ErrorKind::BadRequest, message));
    }
    render::answer(&client.call(&Request::post("/v1/drain"))?, options.output)
}
