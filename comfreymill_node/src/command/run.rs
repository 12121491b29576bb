use std::ffi;
use std::io;
use std::io::Write as _;
use std::process;

use comfreymill_types::error;

use super::flags::{Call, Line, Verb};
use super::{Output, Programs, advice, env, general, job, render, zone};

/// Parses the arguments after the program name and runs the command.
///
/// Output goes to stdout; an error is written to stderr, and its kind determines the exit code.
pub fn run<P>(args: Vec<ffi::OsString>, programs: &P) -> process::ExitCode
where
    P: Programs,
{
    let output = Line::parse(args).and_then(|line| match line {
        Line::Text(text) => Ok(text),
        Line::Call(call) => execute(*call, programs),
    });
    match output {
        Ok(text) => {
            render::print(&text);
            process::ExitCode::SUCCESS
        }
        Err(error) => {
            // A failure to write to stderr cannot be reported anywhere.
            let _ = io::stderr().write_all(describe(&error).as_bytes());
            process::ExitCode::from(error.get_kind().get_properties().exit_code)
        }
    }
}

fn execute<P>(call: Call, programs: &P) -> Output
where
    P: Programs,
{
    match call.verb {
        Verb::General(verb) => general::execute(verb, &call.options, programs),
        Verb::Env(verb) => env::execute(verb, &call.options),
        Verb::Job(verb) => job::execute(verb, &call.options),
        Verb::Zone(verb) => zone::execute(verb, &call.options),
    }
}

/// Formats an error together with the advice for its kind.
fn describe(error: &error::Error) -> String {
    match advice::next_step(error.get_kind()) {
        Some(step) => format!("comfreymill: {error}; {step}\n"),
        None => format!("comfreymill: {error}\n"),
    }
}
