//! Runtime, HTTP servers and raw TCP peers for the tests

mod client;
mod message;
mod peer;
mod raw_response;
mod runtime;
mod service;

pub(crate) use client::{head, open, open_with};
pub(crate) use message::{Body, Edits, Pipeline};
pub(crate) use peer::{Peer, Upstream};
pub(crate) use raw_response::{RawResponse, parse_complete_responses, parse_responses};
pub(crate) use runtime::{run, with_timeout, yield_to_tasks};
pub(crate) use service::{Service, limits};
