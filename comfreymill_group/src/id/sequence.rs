number_newtype! {
    /// Sequence number of a write to the store; each write has the previous number plus one.
    Sequence
}

impl Sequence {
    /// Returns the sequence number of the next write.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
