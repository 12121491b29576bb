number_newtype! {
    /// Replica of a group, as named by the operator's settings.
    VoterId
}
