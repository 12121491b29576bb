use bytes::Bytes;

/// Answer to a keyed request, returned when the request is sent again.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers that are sent to the caller.
    pub headers: Vec<(String, String)>,
    /// Body; `None` if it was too large or was dropped to limit the total size.
    pub body: Option<Bytes>,
}
