use std::fmt;

/// Whether any byte of a request was written to the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// No byte was written, so the peer cannot have processed the request.
    Nothing,
    /// Some bytes were written, so the peer may have processed the request.
    Some,
}

impl fmt::Display for Sent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Nothing => "no bytes sent",
            Self::Some => "some bytes sent",
        })
    }
}
