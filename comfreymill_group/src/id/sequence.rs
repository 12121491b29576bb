number_newtype! {
    /// Number of a write to the store, rising by one.
    Sequence
}

impl Sequence {
    /// Number of the following write.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
