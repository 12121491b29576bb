use comfreymill_types::error::ErrorKind;

/// Returns the advice to an operator for errors of this kind whose message does not contain any.
pub(super) fn next_step(kind: ErrorKind) -> Option<&'static str> {
    let step = match kind {
        ErrorKind::Unauthorized => "pass the file with the operators' token with --token-file",
        ErrorKind::ForeignCluster => "check the cluster's name and key file in the settings",
        ErrorKind::NotFound => "check the name or id",
        ErrorKind::Conflict => "read the current state with `show` or `status`, then try again",
        ErrorKind::KeyReused => "use a new key, or send the first request again unchanged",
        ErrorKind::QuotaExceeded => "wait for the team's work to finish, or raise its quota",
        ErrorKind::NeverFits => "request fewer resources, or add a worker that is large enough",
        ErrorKind::Unreachable => "check that the process runs and that --operators is its address",
        ErrorKind::NoLeader | ErrorKind::NotCurrent => {
            "try again shortly; if the error persists, check that most voters run"
        }
        ErrorKind::Overloaded | ErrorKind::QueueFull | ErrorKind::NoExecutor => "try again shortly",
        ErrorKind::Draining => "try another node with --operators",
        ErrorKind::Storage => "check the data folder and the space on its disk",
        ErrorKind::Internal => "check the node's log",
        _ => return None,
    };
    Some(step)
}
