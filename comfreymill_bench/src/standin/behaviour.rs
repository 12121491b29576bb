use std::time::Duration;

/// How an executor answers requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// Returns the request's body after this delay.
    Echo(Duration),
    /// Returns a server error at once.
    Fail,
    /// Reports that the request was not run.
    NotRun,
    /// Closes the connection in the middle of the answer, after the request has run.
    CutShort,
}
