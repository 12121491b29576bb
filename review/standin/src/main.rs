//! Stand-ins for clients, executors and operators, and the cases that are shown with them.
//!
//! `standin CASE RECORD` runs a case from the root of the repository and writes what was sent,
//! answered and run to the file RECORD. It exits with 1 if the rule was broken, with 0 if it held,
//! and with 2 if the case could not run. With `TROUBLE=0` the case runs without its disruption.

mod bed;
mod cases;
mod client;
mod executor;
mod json;
mod record;
mod wire;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(&path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    match cases::run(&case, &record, has_trouble) {
        Ok(None) => {
            record.note("the rule held");
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(breach)) => {
            record.note(format!("BROKEN: {breach}"));
            println!("{case}: broken: {breach}");
            ExitCode::from(1)
        }
        Err(error) => {
            record.note(format!("the case could not run: {}", error.0));
            println!("{case}: could not run: {}", error.0);
            ExitCode::from(2)
        }
    }
}
