number_newtype! {
    /// Raft term; at most one leader is elected in each.
    Term
}

impl Term {
    /// Returns the next term.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}
