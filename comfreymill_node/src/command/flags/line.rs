use std::ffi;
use std::net;
use std::path;

use comfreymill_types::error;
use comfreymill_types::time;

use super::{env, general, job, zone};
use crate::command::{OutputFormat, help};

const FLAGS_WITH_VALUE: [&str; 4] = ["--output", "--operators", "--token-file", "--timeout"];
const HELP_FLAGS: [&str; 2] = ["--help", "-h"];
const VERSION_FLAGS: [&str; 2] = ["--version", "-V"];

/// Parsed command line.
pub(in crate::command) enum Line {
    /// Request for a text, such as the help, which is printed.
    Text(String),
    /// Command with its options.
    Call(Box<Call>),
}

/// Command with the common options.
pub(in crate::command) struct Call {
    /// Common options.
    pub(in crate::command) options: Options,
    /// Command to run.
    pub(in crate::command) verb: Verb,
}

/// Options that all commands have.
#[derive(Debug)]
pub(in crate::command) struct Options {
    /// Output format.
    pub(in crate::command) output: OutputFormat,
    /// Addresses of operators' listeners, in the order in which they are tried.
    pub(in crate::command) operators: Vec<net::SocketAddr>,
    /// File with the operators' token.
    pub(in crate::command) token_file: Option<path::PathBuf>,
    /// Maximum time to wait for an answer.
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
    /// Command on availability zones.
    Zone(zone::ZoneCmd),
}

impl Line {
    /// Parses the arguments after the program name.
    ///
    /// # Errors
    ///
    /// Fails with `bad-request` and a line that names the invalid argument and the help to read.
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
            "env" => parse_env(without_group(args, "env")),
            "job" => parse_job(without_group(args, "job")),
            "zone" => parse_zone(without_group(args, "zone")),
            _ => parse_general(args),
        };
        call.map(|call| Self::Call(Box::new(call))).map_err(|error| usage_error(&error, &path))
    }
}

/// Extracts the common options of a parsed line; a macro, since each grammar has its own type.
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

fn parse_zone(args: Vec<ffi::OsString>) -> xflags::Result<Call> {
    let line = zone::Zone::from_vec(args)?;
    let options = options!(line);
    Ok(Call { options, verb: Verb::Zone(line.subcommand) })
}

fn usage_error(error: &xflags::Error, path: &str) -> error::Error {
    let message = error.to_string().replace("subcommand is required", "a command is required");
    let message = format!("{message}; see `{path} --help`");
    error::Error::new(error::ErrorKind::BadRequest, message)
}

fn is_one_of(arg: &ffi::OsStr, flags: &[&str]) -> bool {
    flags.iter().any(|flag| arg == *flag)
}

/// Returns the words that are neither flags nor values of the common options.
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

/// Removes the first argument that is the name of the command group.
fn without_group(mut args: Vec<ffi::OsString>, group: &str) -> Vec<ffi::OsString> {
    let mut i = 0;
    while i < args.len() && args[i] != group {
        i += if is_one_of(&args[i], &FLAGS_WITH_VALUE) { 2 } else { 1 };
    }
    if i < args.len() {
        args.remove(i);
    }
    args
}
