use super::RunState;

/// What an error kind says to those who asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Whether the request was run.
    pub run: RunState,
    /// Whether the same request may be sent again.
    pub resend: bool,
    /// Exit code of the command line.
    pub exit_code: u8,
}
