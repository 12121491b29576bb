use super::RunState;

/// How an error kind is reported to HTTP clients and by the command line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorProperties {
    /// HTTP status code.
    pub status: u16,
    /// What is known about whether the request ran.
    pub run: RunState,
    /// Whether the client may send the same request again.
    pub resend: bool,
    /// Exit code of the command line tool.
    pub exit_code: u8,
}
