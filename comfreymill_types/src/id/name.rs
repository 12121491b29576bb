const MAX_NAME_BYTES: usize = 63;
const RULE: &str = "write 1 to 63 of a-z 0-9 . _ -, beginning with a letter or digit";

fn is_name(text: &str) -> bool {
    let first_fits = text.bytes().next().is_some_and(|b| b.is_ascii_alphanumeric());
    let all_fit = text
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'.' | b'_' | b'-'));
    first_fits && all_fit && text.len() <= MAX_NAME_BYTES
}

text_id!(
    /// Name of a class of requests or tasks.
    ClassName,
    "class name",
    is_name,
    RULE
);
text_id!(
    /// Name of a cluster; each customer has its own cluster.
    ClusterName,
    "cluster name",
    is_name,
    RULE
);
text_id!(
    /// Name of an entry process.
    EntryName,
    "entry name",
    is_name,
    RULE
);
text_id!(
    /// Name of an environment.
    EnvironmentName,
    "environment name",
    is_name,
    RULE
);
text_id!(
    /// Name of an executor, stable across restarts.
    ExecutorName,
    "executor name",
    is_name,
    RULE
);
text_id!(
    /// Name of a rack.
    RackName,
    "rack name",
    is_name,
    RULE
);
text_id!(
    /// Name of a region.
    RegionName,
    "region name",
    is_name,
    RULE
);
text_id!(
    /// Name of a prompt service.
    ServiceName,
    "service name",
    is_name,
    RULE
);
text_id!(
    /// Name of a team.
    TeamName,
    "team name",
    is_name,
    RULE
);
text_id!(
    /// Name of a control process in its replicated group.
    VoterName,
    "voter name",
    is_name,
    RULE
);
text_id!(
    /// Name of a worker.
    WorkerName,
    "worker name",
    is_name,
    RULE
);
text_id!(
    /// Name of an availability zone.
    ZoneName,
    "zone name",
    is_name,
    RULE
);
