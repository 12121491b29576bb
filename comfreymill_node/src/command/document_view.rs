use comfreymill_types::error;

/// Document in force as a node shows it; other fields are passed over.
#[derive(Clone, Debug, serde::Deserialize)]
pub(super) struct DocumentView {
    /// Text as submitted.
    pub(super) text: String,
}

impl DocumentView {
    /// Reads the view from a response.
    ///
    /// # Errors
    ///
    /// The response is no document.
    pub(super) fn read(body: &[u8]) -> Result<Self, error::Error> {
        serde_json::from_slice(body).map_err(|error| {
            let message = format!("the node's answer is no document: {error}");
            error::Error::new(error::ErrorKind::Internal, message)
        })
    }
}
