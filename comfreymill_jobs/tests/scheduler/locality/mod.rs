//! Near the data or the group, or now: decisions, forecasts, failures, and generated loads.

mod decisions;
mod failures;
mod groups;
mod loads;
mod world;
