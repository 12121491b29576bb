//! Binary `comfreymill`, which contains all programs and commands.

mod programs;

use std::env;
use std::process;

use comfreymill_node::command;

fn main() -> process::ExitCode {
    let args = env::args_os().skip(1).collect();
    command::run(args, &programs::NodePrograms)
}
