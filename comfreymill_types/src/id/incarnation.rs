number_id!(
    /// One life of a process: a restart brings a new one.
    Incarnation,
    "incarnation",
    "i"
);
