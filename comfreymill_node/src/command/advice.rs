use comfreymill_types::error::ErrorKind;

/// What an operator does next about an error of this kind, if its message does not say so.
pub(super) fn next_step(kind: ErrorKind) -> Option<&'static str> {
    let step = match kind {
        ErrorKind::Unauthorized => "give the file of the operators' token with --token-file",
        ErrorKind::ForeignCluster => "check the cluster's name and key file in the settings",
        ErrorKind::NotFound => "check the name or id",
        ErrorKind::Conflict => "read the present state with `show` or `status`, then try again",
        ErrorKind::KeyReused => "use a new key, or send the first request again unchanged",
        ErrorKind::QuotaExceeded => "wait for the team's work to finish, or raise its quota",
        ErrorKind::NeverFits => "ask for less, or add a worker that is large enough",
        ErrorKind::Unreachable => "check that the process runs and that --operators is its address",
        ErrorKind::NoLeader | ErrorKind::NotCurrent => {
            "try again shortly; if it stays, check that most voters run"
        }
        ErrorKind::Overloaded | ErrorKind::QueueFull | ErrorKind::NoExecutor => "try again shortly",
        ErrorKind::Draining => "ask another node with --operators",
        ErrorKind::Storage => "check the data folder and the space on its disk",
        ErrorKind::Internal => "look into the node's log",
        _ => return None,
    };
    Some(step)
}
