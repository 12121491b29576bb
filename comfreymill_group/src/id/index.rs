number_newtype! {
    /// Position in the log; the first entry is at 1.
    Index
}

impl Index {
    /// Following position.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Preceding position, or zero.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// Position `count` further on.
    #[must_use]
    pub const fn plus(self, count: u64) -> Self {
        Self(self.0.saturating_add(count))
    }

    /// Position `count` back, or zero.
    #[must_use]
    pub const fn minus(self, count: u64) -> Self {
        Self(self.0.saturating_sub(count))
    }

    /// Entries from `earlier` to `self`, zero if `earlier` is later.
    pub const fn distance_from(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
