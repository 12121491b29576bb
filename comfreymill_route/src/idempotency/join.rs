use comfreymill_types::error;

/// What to do with a keyed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Join {
    /// Run it; later requests of the key join it.
    Run,
    /// It joined the run of this request and gets its answer.
    Joined {
        /// Request that runs.
        run: u64,
    },
    /// It is over and was not run.
    Refused(error::Error),
}
