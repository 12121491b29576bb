number_id!(
    /// Number of a job, in order of acceptance.
    JobId,
    "job id",
    "j"
);
