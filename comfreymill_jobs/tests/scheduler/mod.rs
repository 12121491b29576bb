//! Tests of the scheduler's decisions, including under failures.

mod cancellation;
mod choice;
mod common_crashes;
mod crashes;
mod early_cancellation;
mod evacuation;
mod holding;
mod incarnations;
mod interference;
mod late_departure;
mod leases;
mod load;
mod locality;
mod lossy;
mod moves;
mod odd_announcements;
mod odd_readings;
mod odd_rows;
mod odd_sizes;
mod order;
mod packing;
mod restarts;
mod route_changes;
mod succession;
mod turns;
