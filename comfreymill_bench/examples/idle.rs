//! Prints the resource use of idle processes.
//!
//! Usage: `idle BINARY SECONDS`.

use std::env;
use std::error::Error;
use std::io;
use std::io::Write as _;
use std::path::PathBuf;
use std::time::Duration;

use comfreymill_bench::idle;

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = env::args_os().skip(1);
    let usage = "usage: idle BINARY SECONDS";
    let binary = PathBuf::from(args.next().ok_or(usage)?);
    let seconds = args.next().and_then(|text| text.into_string().ok()).ok_or(usage)?;
    let span = Duration::from_secs(seconds.parse()?);
    let mut out = io::stdout();
    for process in idle::measure(&binary, span)? {
        writeln!(out, "{process}")?;
    }
    Ok(())
}
