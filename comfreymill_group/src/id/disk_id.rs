number_newtype! {
    /// Data folder of a replica, chosen at random when the folder is first used.
    DiskId
}
