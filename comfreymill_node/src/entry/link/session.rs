use std::time::Duration;

use comfreymill_ledger::codec;
use comfreymill_types::id;

use super::handle::Request;
use super::pending::Pending;
use crate::clock;
use crate::peer;
use crate::protocol;

const EXPIRY_PERIOD: Duration = Duration::from_millis(50);

/// Reason for the end of a session.
#[derive(Debug)]
pub(super) enum SessionEnd {
    /// The peer is not the leader; it may name the voter that is.
    Redirected(Option<id::VoterName>),
    /// The connection failed.
    Failed(peer::PeerError),
    /// The process is stopping.
    Stopped,
}

/// Exchange of calls and replies over one connection to a voter.
pub(super) struct Session<'a> {
    pub(super) clock: clock::Clock,
    pub(super) silence_limit: Duration,
    pub(super) connection: peer::Connection,
    pub(super) pending: &'a mut Pending,
    pub(super) requests: &'a flume::Receiver<Request>,
    pub(super) pushes: &'a flume::Sender<protocol::Push>,
}

enum SessionEvent {
    Request(Option<Request>),
    Frame(Result<peer::Frame, peer::PeerError>),
    Expire,
}

impl Session<'_> {
    /// Resends the pending calls, then sends new ones until the session ends.
    pub(super) async fn run(mut self) -> SessionEnd {
        match self.serve().await {
            Ok(end) => end,
            Err(error) => SessionEnd::Failed(error),
        }
    }

    async fn serve(&mut self) -> Result<SessionEnd, peer::PeerError> {
        for id in self.pending.ids() {
            self.send(id).await?;
        }
        let mut last_frame_at = self.clock.now();
        loop {
            match self.next_event().await {
                SessionEvent::Request(None) => return Ok(SessionEnd::Stopped),
                SessionEvent::Request(Some(req)) => {
                    let id = self.pending.add(self.clock.now(), req);
                    self.send(id).await?;
                }
                SessionEvent::Frame(frame) => {
                    last_frame_at = self.clock.now();
                    if let Some(end) = self.receive(&frame?)? {
                        return Ok(end);
                    }
                }
                SessionEvent::Expire => {
                    let now = self.clock.now();
                    self.pending.expire(now);
                    if now.since(last_frame_at) > self.silence_limit {
                        return Err(peer::PeerError::TimedOut);
                    }
                }
            }
        }
    }

    async fn next_event(&mut self) -> SessionEvent {
        monoio::select! {
            req = self.requests.recv_async() => SessionEvent::Request(req.ok()),
            frame = self.connection.reader.next() => SessionEvent::Frame(frame),
            () = monoio::time::sleep(EXPIRY_PERIOD) => SessionEvent::Expire,
        }
    }

    async fn send(&mut self, id: u64) -> Result<(), peer::PeerError> {
        let Some(frame) = self.pending.take_frame(id) else { return Ok(()) };
        let send = self.connection.writer.send(frame);
        monoio::time::timeout(self.silence_limit, send)
            .await
            .map_err(|_| peer::PeerError::TimedOut)?
    }

    fn receive(&mut self, frame: &peer::Frame) -> Result<Option<SessionEnd>, peer::PeerError> {
        let malformed = |error: codec::CodecError| peer::PeerError::Malformed(error.to_string());
        match frame.kind() {
            peer::FrameKind::Reply => {
                let result: protocol::CallResult = codec::decode(&frame.body).map_err(malformed)?;
                if let Ok(protocol::Answer::Redirect(leader)) = result {
                    return Ok(Some(SessionEnd::Redirected(leader)));
                }
                self.pending.resolve(frame.id, result);
            }
            peer::FrameKind::Push => {
                let push = codec::decode(&frame.body).map_err(malformed)?;
                self.pushes.send(push).ok();
            }
            _ => {
                let message = format!("unexpected frame of kind {} from a voter", frame.kind);
                return Err(peer::PeerError::Malformed(message));
            }
        }
        Ok(None)
    }
}
