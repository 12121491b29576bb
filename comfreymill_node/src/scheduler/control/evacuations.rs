//! Operators' orders about availability zones.
//!
//! An order is stamped with the revision of the zone's record that this process knows, so that one
//! that is delayed on its way to the leader cannot undo an order that was given later.

use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::server;
use comfreymill_jobs::id;
use comfreymill_jobs::state;
use comfreymill_types::error;

use super::serve::Context;
use crate::clock;
use crate::jobcall::{Call, CallError, Reply};
use crate::scheduler::core::Input;
use crate::web;

/// Maximum wait for the leader's answer; operators send an order again after a few seconds.
const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum wait for the replica of this process.
const REVISION_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum length of the name of who gives an order, in bytes.
const MAX_OPERATOR_BYTES: usize = 100;
/// Path of the product's own requests.
const PATH: &str = "/v1/evacuations";

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    Evacuate,
    Withdraw,
}

/// Returns whether a path is one of the product's own requests about evacuations.
pub(super) fn is_own_path(path: &str) -> bool {
    path.strip_prefix(PATH).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Answers one of the product's own requests about evacuations.
///
/// # Errors
///
/// The response cannot be sent.
pub(super) async fn serve_own(
    cx: &Context,
    req: server::Request<'_>,
) -> Result<(), server::ServerError> {
    match handle_own(cx, &req).await {
        Ok(body) => web::answer_json(req, body).await,
        Err(error) => web::answer_error(req, &error).await,
    }
}

async fn handle_own(cx: &Context, req: &server::Request<'_>) -> Result<Bytes, error::Error> {
    let rest = req.uri().path().strip_prefix(PATH).unwrap_or_default();
    let (method, change) = match rest.rsplit_once('/') {
        None => (http::Method::GET, None),
        Some((zone, "evacuate")) => (http::Method::POST, Some((zone, Change::Evacuate))),
        Some((zone, "withdraw")) => (http::Method::POST, Some((zone, Change::Withdraw))),
        Some(_) => {
            let message = format!("write {PATH}, or {PATH}/ZONE/evacuate or {PATH}/ZONE/withdraw");
            return Err(error::Error::new(error::ErrorKind::NotFound, message).field("path"));
        }
    };
    if *req.method() != method {
        let message = format!("the path has the method {method}");
        return Err(error::Error::new(error::ErrorKind::MethodNotAllowed, message));
    }
    let result = match change {
        None => cx.call(Call::ShowEvacuations, TIMEOUT).await,
        Some((zone, change)) => {
            let zone = zone.strip_prefix('/').unwrap_or_default();
            order(cx, zone, change, operator(req)).await
        }
    };
    let kind = match &result {
        Ok(Reply::Done) => return Ok(Bytes::from_static(b"{}")),
        Ok(Reply::Evacuations(body)) => return Ok(body.clone()),
        Ok(Reply::Malformed(_)) => error::ErrorKind::BadRequest,
        Ok(Reply::NoSuchZone(_)) => error::ErrorKind::NotFound,
        Ok(Reply::Superseded) => error::ErrorKind::Conflict,
        Err(CallError { was_sent: false, .. }) => error::ErrorKind::NoLeader,
        Ok(_) | Err(_) => error::ErrorKind::CommitUnknown,
    };
    let message = match result {
        Ok(Reply::Malformed(reason) | Reply::NoSuchZone(reason)) => reason,
        Ok(Reply::Superseded) => {
            "another order about the zone was committed first; look at the state of the zones"
                .to_owned()
        }
        _ => "no leader has answered in time".to_owned(),
    };
    Err(error::Error::new(kind, message).field("zone"))
}

/// Gives an order about the zone that has the name `zone`.
pub(super) async fn order(
    cx: &Context,
    zone: &str,
    change: Change,
    operator: String,
) -> Result<Reply, CallError> {
    let zone: id::ZoneName = match zone.parse() {
        Ok(zone) => zone,
        Err(error) => {
            log::info!(target: "evacuations", reason:% = error; "a malformed order about a zone is refused");
            return Ok(Reply::Malformed(format!("zone: {error}")));
        }
    };
    let revision = known_revision(cx, zone.clone()).await?;
    let unix_ms = u64::try_from(clock::since_1970().as_millis()).unwrap_or(u64::MAX);
    let order = Box::new(state::ZoneOrder { zone, operator, unix_ms, revision });
    let call = match change {
        Change::Evacuate => Call::Evacuate(order),
        Change::Withdraw => Call::WithdrawEvacuation(order),
    };
    cx.call(call, TIMEOUT).await
}

/// Returns the revision of the zone's record in the replica of this process.
async fn known_revision(cx: &Context, zone: id::ZoneName) -> Result<u64, CallError> {
    let (reply, rx) = flume::bounded(1);
    cx.inputs
        .send(Input::ZoneRevision { zone, reply })
        .map_err(|_| CallError { was_sent: false, retry_after: None })?;
    match monoio::time::timeout(REVISION_TIMEOUT, rx.recv_async()).await {
        Ok(Ok(revision)) => Ok(revision),
        _ => Err(CallError { was_sent: false, retry_after: None }),
    }
}

/// Returns who sent a request: the name in its header, if it has one, and its address.
pub(super) fn operator(req: &server::Request<'_>) -> String {
    let address =
        req.peer_addr().map_or_else(|_| "unknown".to_owned(), |addr| addr.ip().to_string());
    let header = req.headers().get(web::OPERATOR_HEADER);
    match header.and_then(|name| name.to_str().ok()) {
        Some(name) => {
            let name: String = name.chars().take(MAX_OPERATOR_BYTES).collect();
            format!("{name} ({address})")
        }
        None => address,
    }
}
