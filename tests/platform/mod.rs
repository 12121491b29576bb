//! The programs `gateway` and `scheduler` as processes, with stand-in workers.

mod early_cancellation;
mod final_faults;
mod founding;
mod group_bed;
mod load;
mod lost_disks;
mod odd_entries;
mod overload;
mod rejoin;
mod route_changes;
mod session;
mod soak;
#[path = "../../platform/tests/standin/mod.rs"]
mod standin;
mod test_bed;
mod whole_path;
