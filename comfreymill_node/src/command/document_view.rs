use comfreymill_types::error;

/// Document in force as returned by a node; other fields are ignored.
#[derive(Clone, Debug, serde::Deserialize)]
pub(super) struct DocumentView {
    /// Text of the document as submitted.
    pub(super) text: String,
}

impl DocumentView {
    /// Parses the body of a response.
    ///
    /// # Errors
    ///
    /// Fails if the response is not a document.
    pub(super) fn read(body: &[u8]) -> Result<Self, error::Error> {
        serde_json::from_slice(body).map_err(|error| {
            let message = format!("the node's answer is not a document: {error}");
            error::Error::new(error::ErrorKind::Internal, message)
        })
    }
}
