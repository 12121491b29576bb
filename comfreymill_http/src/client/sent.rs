use std::fmt;

/// Whether any byte of a request was written to the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// No byte was written, so the peer cannot have run the request.
    Nothing,
    /// Some bytes were written, so the peer may have run the request.
    Some,
}

impl fmt::Display for Sent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Nothing => "nothing sent",
            Self::Some => "some sent",
        })
    }
}
