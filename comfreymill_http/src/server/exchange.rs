use http::request;

use super::{budget, error};
use crate::{body, head, hop, limits};

/// Progress of the response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseState {
    NotStarted,
    Started,
    Complete,
}

/// State of the request in progress on a connection.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) body: body::Reader,
    pub(super) reservation: budget::Reservation,
    pub(super) response_state: ResponseState,
    pub(super) is_continue_pending: bool,
    pub(super) is_keep_alive: bool,
    is_head: bool,
    version: http::Version,
}

impl Exchange {
    /// Validates the head of a request and prepares to read its body.
    pub(super) fn new(
        head: &request::Parts,
        limits: &limits::Limits,
        reservation: budget::Reservation,
    ) -> Result<Self, super::Refusal> {
        let framing = head::request_framing(head)?;
        head::check_host(head)?;
        let is_continue_pending = head::wants_continue(head)?;
        let body = body::Reader::new(framing, limits);
        if body.length().is_some_and(|length| length > limits.get_max_body_bytes()) {
            return Err(body::BodyError::TooLarge.into());
        }
        Ok(Self {
            is_continue_pending: is_continue_pending && !body.is_complete(),
            body,
            reservation,
            response_state: ResponseState::NotStarted,
            is_keep_alive: is_keep_alive(head),
            is_head: head.method == http::Method::HEAD,
            version: head.version,
        })
    }

    /// Returns the framing of a response, given the length of its body if that is known.
    ///
    /// Returns `None` if the length is unknown and the caller uses HTTP/1.0, which has no chunked
    /// coding; the body must then be buffered to find its length.
    pub(super) fn response_framing(
        &self,
        status: http::StatusCode,
        length: Option<u64>,
    ) -> Result<Option<head::OutgoingFraming>, error::ServerError> {
        if status.is_informational() {
            return Err(error::ServerError::InterimStatus);
        }
        if has_no_body(status) {
            return Ok(Some(head::OutgoingFraming::Empty));
        }
        Ok(match length {
            Some(length) => Some(head::OutgoingFraming::Length(length)),
            None if self.version == http::Version::HTTP_11 => Some(head::OutgoingFraming::Chunked),
            None => None,
        })
    }

    /// Returns whether a response with this status has a body on the wire.
    pub(super) fn sends_body(&self, status: http::StatusCode) -> bool {
        !self.is_head && !has_no_body(status)
    }

    /// Returns the value of the response's `Connection` header.
    pub(super) fn connection_option(&self) -> Option<&'static str> {
        match (self.is_keep_alive, self.version) {
            (false, _) => Some("close"),
            (true, http::Version::HTTP_11) => None,
            (true, _) => Some("keep-alive"),
        }
    }

    /// Turns keep-alive off if the rest of the request body cannot be discarded: it is larger than
    /// the drain limit, the sender still waits for `100 Continue`, or reading it has failed.
    pub(super) fn update_keep_alive(&mut self, limits: &limits::Limits) {
        let is_too_large = self
            .body
            .remaining()
            .is_some_and(|remaining| remaining > limits.get_max_drain_bytes() as u64);
        let has_failed = self.body.error().is_some();
        if is_too_large || has_failed || self.is_continue_pending {
            self.is_keep_alive = false;
        }
    }
}

fn has_no_body(status: http::StatusCode) -> bool {
    status == http::StatusCode::NO_CONTENT || status == http::StatusCode::NOT_MODIFIED
}

fn is_keep_alive(head: &request::Parts) -> bool {
    if hop::has_connection_option(&head.headers, "close") {
        return false;
    }
    head.version == http::Version::HTTP_11
        || hop::has_connection_option(&head.headers, "keep-alive")
}
