//! Runtime, servers and raw peers for the tests

mod answer;
mod peer;
mod runtime;
mod service;

pub(crate) use answer::{Answer, parse_answers};
pub(crate) use peer::{Peer, Upstream};
pub(crate) use runtime::{guard, run};
pub(crate) use service::{Service, limits};
