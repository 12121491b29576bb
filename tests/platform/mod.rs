//! The programs `gateway` and `scheduler` as processes, with stand-in workers.

mod early_cancellation;
mod odd_entries;
mod overload;
mod route_changes;
#[path = "../../platform/tests/standin/mod.rs"]
mod standin;
mod test_bed;
mod whole_path;
