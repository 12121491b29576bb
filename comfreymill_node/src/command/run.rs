use std::ffi;
use std::io;
use std::io::Write as _;
use std::process;

use comfreymill_types::error;

use super::flags::{Call, Line, Verb};
use super::{Output, Programs, advice, env, general, job, render};

/// Does what the arguments behind the program's name ask.
///
/// Output goes to stdout; an error is one line on stderr, and its kind gives the exit code.
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
            // There is no other place to report that stderr is closed.
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
    }
}

/// One line that says what happened and what to do next.
fn describe(error: &error::Error) -> String {
    match advice::next_step(error.get_kind()) {
        Some(step) => format!("comfreymill: {error}; {step}\n"),
        None => format!("comfreymill: {error}\n"),
    }
}
