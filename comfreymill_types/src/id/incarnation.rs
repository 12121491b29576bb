number_id!(
    /// Incarnation of a process; each restart gets a new one.
    Incarnation,
    "incarnation",
    "i"
);
