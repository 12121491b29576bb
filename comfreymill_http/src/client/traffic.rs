/// Number of bytes sent and received on a connection since it was opened.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes written to the peer.
    pub sent: u64,
    /// Bytes read from the peer.
    pub received: u64,
}
