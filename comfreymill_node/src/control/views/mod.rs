//! JSON views for operators.

mod environment;
mod job;
mod reply;
mod status;

pub(super) use environment::{document, environment_status};
pub(super) use job::{explain, job, jobs};
pub(super) use reply::reply;
pub(super) use status::status;

use bytes::Bytes;

fn to_json<T>(value: &T) -> Bytes
where
    T: serde::Serialize,
{
    serde_json::to_vec(value).unwrap_or_default().into()
}
