//! Tests of the scheduler's decisions, including under failures.

mod choice;
mod crashes;
mod holding;
mod interference;
mod leases;
mod load;
mod order;
mod packing;
mod succession;
mod turns;
