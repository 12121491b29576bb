number_newtype! {
    /// Position in the log; the first entry has index 1.
    Index
}

impl Index {
    /// Returns the next index.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns the previous index, or zero.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// Returns the index `count` entries later.
    #[must_use]
    pub const fn plus(self, count: u64) -> Self {
        Self(self.0.saturating_add(count))
    }

    /// Returns the index `count` entries earlier, or zero.
    #[must_use]
    pub const fn minus(self, count: u64) -> Self {
        Self(self.0.saturating_sub(count))
    }

    /// Returns the number of entries after `earlier` up to `self`, or zero if `earlier` is later.
    pub const fn distance_from(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
