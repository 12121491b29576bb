use comfreymill_types::error;

/// Error of a call whose time is up.
pub(super) fn timed_out(was_sent: bool) -> error::Error {
    if was_sent {
        let message = "the call was sent and no answer came in time; send it again with its key";
        error::Error::new(error::ErrorKind::CommitUnknown, message)
    } else {
        let message = "no leader of the group could be reached in time";
        error::Error::new(error::ErrorKind::NoLeader, message)
    }
}
