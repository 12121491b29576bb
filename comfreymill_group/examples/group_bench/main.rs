//! Benchmarks a group of replicas in one process that writes to files and batches syncs.
//!
//! Run it with `cargo run --release -p comfreymill_group --example group_bench -- FOLDER`. It
//! writes its files below FOLDER and removes them at the end. It takes about a minute.

mod cluster;
mod files;
mod idle;
mod member;
mod processor;
mod slow_disk;

use std::io::{self, Write};
use std::{env, path};

fn main() -> io::Result<()> {
    let folder = env::args().nth(1).map_or_else(env::temp_dir, path::PathBuf::from);
    let folder = folder.join(format!("group_bench-{}", std::process::id()));
    let mut out = io::stdout();
    cluster::measure_commits(&folder, &mut out)?;
    cluster::measure_slow_syncs(&folder, &mut out)?;
    cluster::measure_constant_load(&folder, &mut out)?;
    cluster::measure_failover(&folder, &mut out)?;
    files::measure_restart(&folder, &mut out)?;
    files::measure_snapshot(&folder, &mut out)?;
    idle::measure_traffic(&mut out)?;
    out.flush()?;
    std::fs::remove_dir_all(&folder)
}
