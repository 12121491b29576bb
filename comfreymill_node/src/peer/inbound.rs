use std::time::Duration;

use super::{Frame, Hello, PeerError, SessionId};

/// Message to the core of a process about a connection that a peer has opened.
pub(crate) trait Inbound: Sized + 'static {
    /// Time without a frame from the peer after which a connection is closed.
    const IDLE_TIMEOUT: Duration;

    /// A peer is authenticated; frames sent to `frames` go to the peer. Returns `None` if the core
    /// does not need to know.
    fn opened(session: SessionId, peer: &Hello, frames: flume::Sender<Frame>) -> Option<Self>;

    /// The peer has sent a frame other than a keep-alive. Frames sent to `frames` go to the peer.
    ///
    /// # Errors
    ///
    /// Fails if the frame is unexpected or malformed; the connection is then closed.
    fn received(
        session: SessionId,
        peer: &Hello,
        frame: &Frame,
        frames: &flume::Sender<Frame>,
    ) -> Result<Self, PeerError>;

    /// The connection has ended.
    fn closed(session: SessionId) -> Self;
}
