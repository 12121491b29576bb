use comfreymill_types::error;

/// JSON body of every error response.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ErrorBody {
    /// Kind of the error.
    pub kind: error::ErrorKind,
    /// Human-readable message.
    pub message: String,
    /// Field that caused the error.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Whether the request was run.
    pub run: error::RunState,
    /// Whether the same request may be sent again.
    pub resend: bool,
    /// Time after which the request may be retried, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl From<&error::Error> for ErrorBody {
    fn from(error: &error::Error) -> Self {
        let answer = error.get_kind().get_properties();
        let millis =
            |span: std::time::Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self {
            kind: error.get_kind(),
            message: error.get_message().to_owned(),
            field: error.get_field().map(str::to_owned),
            run: answer.run,
            resend: answer.resend,
            retry_after_ms: error.get_retry_after().map(millis),
        }
    }
}
