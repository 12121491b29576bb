//! Tests of jobs, routes, the replicated state and the leader's decisions.

mod ids;
mod routes;
mod scheduler;
mod state;
mod support;
