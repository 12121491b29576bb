number_id!(
    /// Id of a job, assigned in order of acceptance and formatted as `j17`.
    JobId,
    "job id",
    "j"
);
