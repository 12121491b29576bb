//! Tests of the batch scheduler.

mod property;
mod rules;
mod simulation;
