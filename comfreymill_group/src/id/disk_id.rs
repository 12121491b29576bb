number_newtype! {
    /// Id of a replica's data folder, chosen at random when the folder is first used.
    DiskId
}
