//! Runtime, HTTP servers and raw TCP peers for the tests

mod answer;
mod client;
mod message;
mod peer;
mod runtime;
mod service;

pub(crate) use answer::{Answer, parse_answers, parse_whole_answers};
pub(crate) use client::{head, open, open_with};
pub(crate) use message::{Body, Edits, Pipeline};
pub(crate) use peer::{Peer, Upstream};
pub(crate) use runtime::{guard, run, step};
pub(crate) use service::{Service, limits};
