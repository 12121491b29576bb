use comfreymill_types::error;

/// Returns the error of a call that timed out.
pub(super) fn timed_out(was_sent: bool) -> error::Error {
    if was_sent {
        let message =
            "the call was sent but timed out without an answer; retry it with the same key";
        error::Error::new(error::ErrorKind::CommitUnknown, message)
    } else {
        let message = "the call timed out before a leader of the group could be reached";
        error::Error::new(error::ErrorKind::NoLeader, message)
    }
}
