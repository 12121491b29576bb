use bytes::Bytes;

/// Answer of a keyed request, kept for resends.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that go to the caller.
    pub headers: Vec<(String, String)>,
    /// Body; none when it was over the bound for keeping.
    pub body: Option<Bytes>,
}
