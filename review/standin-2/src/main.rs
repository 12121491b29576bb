//! Runs one case of the review: `review-standin-2 CASE RECORD`, in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod fleet;
mod json;
mod record;
mod wire;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use cases::Verdict;
use record::Record;

/// Time after which a case that has not come to its end is given up.
const LIMIT: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = match Record::create(Path::new(&path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.add(&format!("case {case}, disruption: {has_trouble}"));
    let late = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        late.add("not run: the case has not come to its end in time");
        fleet::end_all();
        std::process::exit(2);
    });
    let verdict = cases::run(&case, has_trouble, &record)
        .unwrap_or_else(|error| Verdict::NotRun(format!("the case could not run: {error}")));
    let (code, text) = match &verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("broken: {text}")),
        Verdict::NotRun(text) => (2, format!("not run: {text}")),
    };
    record.add(&text);
    println!("{text}");
    ExitCode::from(code)
}
