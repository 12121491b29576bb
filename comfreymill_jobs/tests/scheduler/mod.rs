//! Tests of the scheduler's decisions, including under failures.

mod holding;
mod interference;
mod leases;
mod order;
mod succession;
