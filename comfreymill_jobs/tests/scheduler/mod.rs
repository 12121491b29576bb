//! Rules of the leader's decisions, under failures.

mod interference;
mod leases;
mod order;
mod succession;
