//! Runs the benchmarks, and prints the figures of the documentation as a table or as JSON.
#![allow(clippy::print_stdout, reason = "printing is its purpose")]
#![allow(missing_docs, reason = "the flags are written by a macro that takes no documentation")]

use std::env;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str;

use comfreymill_bench::error::BenchError;
use comfreymill_bench::figure::Figure;
use comfreymill_bench::part::Part;

const DEFAULT_SEED: u64 = 5;

/// Format of the printed figures.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Output {
    #[default]
    Text,
    Json,
}

impl str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("`{text}` is not an output format: write text or json")),
        }
    }
}

xflags::xflags! {
    /// Measures comfreymill on loopback and prints the figures.
    cmd comfreymill-bench {
        /// Binary of comfreymill to measure. Default: `comfreymill` in the folder of this program.
        optional --binary path: PathBuf
        /// Part to run; may be repeated. Default: all parts.
        repeated --only part: Part
        /// Output format: text (default) or json.
        optional --output output: Output
        /// Seed of the simulated parts. Default: 5.
        optional --seed seed: u64
    }
}

fn main() -> ExitCode {
    let flags = ComfreymillBench::from_env_or_exit();
    match run(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(flags: &ComfreymillBench) -> Result<(), BenchError> {
    let default_binary = env::current_exe()?.with_file_name("comfreymill");
    let binary = flags.binary.clone().unwrap_or(default_binary);
    let seed = flags.seed.unwrap_or(DEFAULT_SEED);
    let output = flags.output.unwrap_or_default();
    let parts = if flags.only.is_empty() { Part::ALL.to_vec() } else { flags.only.clone() };
    let mut all = Vec::new();
    for part in parts {
        let before = load_average()?;
        let mut figures = part.run(&binary, seed)?;
        let name = format!("{part}: load average before the run");
        figures.insert(0, Figure::new(name, before, "processes", seed));
        if output == Output::Text {
            figures.iter().for_each(|figure| println!("{figure}"));
        }
        all.extend(figures);
    }
    if output == Output::Json {
        println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default());
    }
    Ok(())
}

/// Returns the load average of the last minute.
fn load_average() -> Result<f64, BenchError> {
    let text = fs::read_to_string("/proc/loadavg")?;
    let first = text.split_whitespace().next().and_then(|first| first.parse().ok());
    first.ok_or_else(|| {
        BenchError::Unexpected("the system does not report the load average".to_owned())
    })
}
