//! The programs `gateway` and `scheduler` as processes, with stand-in workers.

mod dark;
mod early_cancellation;
mod final_faults;
mod founding;
mod group_bed;
mod load;
mod lost_disks;
mod lost_majority;
mod odd_entries;
mod overload;
mod rejoin;
mod route_changes;
mod session;
mod slow_returns;
mod soak;
#[path = "../../platform/tests/standin/mod.rs"]
mod standin;
mod steady_load;
mod test_bed;
mod unknown_group;
mod whole_path;
mod windows;
