use std::time::Duration;

/// How an executor answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behaviour {
    /// With the request's body, after a time.
    Echo(Duration),
    /// With a server error, at once.
    Fail,
    /// By saying that it did not run the request.
    NotRun,
    /// By cutting the answer short after the request ran.
    CutShort,
}
