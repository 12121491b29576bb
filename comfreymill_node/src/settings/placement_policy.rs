settings_word! {
    /// Rule by which the leader places tasks on workers.
    pub enum PlacementPolicy {
        /// Fit by reserved and measured use, with learned interference.
        #[default]
        Default = "default",
        /// First worker that has room.
        FirstFit = "first-fit",
        /// Worker that keeps the least room.
        BestFit = "best-fit",
        /// Fit as by default, but evict at the first sign of interference.
        EvictAtOnce = "evict-at-once",
    }
}
