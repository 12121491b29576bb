//! Tests of the decisions about batch tasks.

mod property;
mod rules;
mod world;
