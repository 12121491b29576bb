number_newtype! {
    /// Group of voters that replicate one log.
    GroupId
}
