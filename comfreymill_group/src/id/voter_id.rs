number_newtype! {
    /// Id of a replica in its group, set by the operator's settings.
    VoterId
}
