number_newtype! {
    /// Id of a group of voters that replicate one log.
    GroupId
}
