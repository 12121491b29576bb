number_newtype! {
    /// Term of a leader.
    Term
}

impl Term {
    /// Following term.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
