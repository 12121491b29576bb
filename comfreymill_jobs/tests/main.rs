//! Tests of identifiers, routes, the replicated state and the scheduler.

mod ids;
mod routes;
mod scheduler;
mod state;
mod support;
