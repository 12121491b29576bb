use std::ffi;
use std::net;
use std::path;

use comfreymill_types::error;
use comfreymill_types::time;

use super::{env, general, job};
use crate::command::{OutputFormat, help};

const FLAGS_WITH_VALUE: [&str; 4] = ["--output", "--operators", "--token-file", "--timeout"];
const HELP_FLAGS: [&str; 2] = ["--help", "-h"];
const VERSION_FLAGS: [&str; 2] = ["--version", "-V"];

/// Command line after parsing.
pub(in crate::command) enum Line {
    /// Text that was asked for, such as help.
    Text(String),
    /// Command with its options.
    Call(Box<Call>),
}

/// Command with the options that every command has.
pub(in crate::command) struct Call {
    /// Options.
    pub(in crate::command) options: Options,
    /// Command.
    pub(in crate::command) verb: Verb,
}

/// Options that every command has.
#[derive(Debug)]
pub(in crate::command) struct Options {
    /// Shape of what is printed.
    pub(in crate::command) output: OutputFormat,
    /// Operators' listeners in the order in which they are asked.
    pub(in crate::command) operators: Vec<net::SocketAddr>,
    /// File with the operators' token.
    pub(in crate::command) token_file: Option<path::PathBuf>,
    /// Longest wait for an answer.
    pub(in crate::command) timeout: Option<time::Span>,
}

/// Command of one of the grammars.
pub(in crate::command) enum Verb {
    /// Program or general command.
    General(general::ComfreymillCmd),
    /// Command on environment documents.
    Env(env::EnvCmd),
    /// Command on jobs.
    Job(job::JobCmd),
}

impl Line {
    /// Parses the arguments behind the program's name.
    ///
    /// # Errors
    ///
    /// A bad request with one line that names the fault and the help to read.
    pub(in crate::command) fn parse(args: Vec<ffi::OsString>) -> Result<Self, error::Error> {
        let words = find_words(&args);
        let group = words.first().copied().unwrap_or_default();
        if args.iter().any(|arg| is_one_of(arg, &HELP_FLAGS)) {
            return help::render(&words).map(Self::Text);
        }
        if words.is_empty() && args.iter().any(|arg| is_one_of(arg, &VERSION_FLAGS)) {
            return Ok(Self::Text(format!("comfreymill {}\n", env!("CARGO_PKG_VERSION"))));
        }
        let path = help::known_path(&words);
        let call = match group {
            "env" => parse_env(without(args, "env")),
            "job" => parse_job(without(args, "job")),
            _ => parse_general(args),
        };
        call.map(|call| Self::Call(Box::new(call))).map_err(|error| usage_error(&error, &path))
    }
}

/// Takes the common options out of a parsed line; each grammar has a type of its own for it.
macro_rules! options {
    ($line:ident) => {
        Options {
            output: $line.output.unwrap_or_default(),
            operators: $line.operators,
            token_file: $line.token_file,
            timeout: $line.timeout,
        }
    };
}

fn parse_general(args: Vec<ffi::OsString>) -> xflags::Result<Call> {
    let line = general::Comfreymill::from_vec(args)?;
    let options = options!(line);
    Ok(Call { options, verb: Verb::General(line.subcommand) })
}

fn parse_env(args: Vec<ffi::OsString>) -> xflags::Result<Call> {
    let line = env::Env::from_vec(args)?;
    let options = options!(line);
    Ok(Call { options, verb: Verb::Env(line.subcommand) })
}

fn parse_job(args: Vec<ffi::OsString>) -> xflags::Result<Call> {
    let line = job::Job::from_vec(args)?;
    let options = options!(line);
    Ok(Call { options, verb: Verb::Job(line.subcommand) })
}

fn usage_error(error: &xflags::Error, path: &str) -> error::Error {
    let message = error.to_string().replace("subcommand is required", "a command is required");
    let message = format!("{message}; see `{path} --help`");
    error::Error::new(error::ErrorKind::BadRequest, message)
}

fn is_one_of(arg: &ffi::OsStr, flags: &[&str]) -> bool {
    flags.iter().any(|flag| arg == *flag)
}

/// Words that are neither flags nor values of the flags that every command has.
fn find_words(args: &[ffi::OsString]) -> Vec<&str> {
    let mut words = Vec::new();
    let mut rest = args.iter();
    while let Some(arg) = rest.next() {
        if is_one_of(arg, &FLAGS_WITH_VALUE) {
            rest.next();
            continue;
        }
        let word = arg.to_str().unwrap_or_default();
        if !word.starts_with('-') {
            words.push(word);
        }
    }
    words
}

/// Arguments without the first one that is the group's name.
fn without(mut args: Vec<ffi::OsString>, group: &str) -> Vec<ffi::OsString> {
    let mut i = 0;
    while i < args.len() && args[i] != group {
        i += if is_one_of(&args[i], &FLAGS_WITH_VALUE) { 2 } else { 1 };
    }
    if i < args.len() {
        args.remove(i);
    }
    args
}
