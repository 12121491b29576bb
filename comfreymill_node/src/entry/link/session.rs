use std::time::Duration;

use comfreymill_ledger::codec;
use comfreymill_types::id;

use super::handle::Request;
use super::pending::Pending;
use crate::clock;
use crate::peer;
use crate::protocol;

const EXPIRY_PERIOD: Duration = Duration::from_millis(50);

/// Why a session ended.
#[derive(Debug)]
pub(super) enum End {
    /// The peer does not lead; it may name the voter that does.
    Redirected(Option<id::VoterName>),
    /// The connection failed.
    Failed(peer::PeerError),
    /// The process is stopping.
    Stopped,
}

/// One connection to a voter.
pub(super) struct Session<'a> {
    pub(super) clock: clock::Clock,
    pub(super) silence_limit: Duration,
    pub(super) connection: peer::Connection,
    pub(super) pending: &'a mut Pending,
    pub(super) requests: &'a flume::Receiver<Request>,
    pub(super) pushes: &'a flume::Sender<protocol::Push>,
}

enum Step {
    Request(Option<Request>),
    Frame(Result<peer::Frame, peer::PeerError>),
    Expire,
}

impl Session<'_> {
    /// Serves calls until the connection ends.
    pub(super) async fn run(mut self) -> End {
        match self.serve().await {
            Ok(end) => end,
            Err(error) => End::Failed(error),
        }
    }

    async fn serve(&mut self) -> Result<End, peer::PeerError> {
        for id in self.pending.ids() {
            self.send(id).await?;
        }
        let mut heard_at = self.clock.now();
        loop {
            match self.wait().await {
                Step::Request(None) => return Ok(End::Stopped),
                Step::Request(Some(req)) => {
                    let id = self.pending.add(self.clock.now(), req);
                    self.send(id).await?;
                }
                Step::Frame(frame) => {
                    heard_at = self.clock.now();
                    if let Some(end) = self.receive(&frame?)? {
                        return Ok(end);
                    }
                }
                Step::Expire => {
                    let now = self.clock.now();
                    self.pending.expire(now);
                    if now.since(heard_at) > self.silence_limit {
                        return Err(peer::PeerError::TimedOut);
                    }
                }
            }
        }
    }

    async fn wait(&mut self) -> Step {
        monoio::select! {
            req = self.requests.recv_async() => Step::Request(req.ok()),
            frame = self.connection.reader.next() => Step::Frame(frame),
            () = monoio::time::sleep(EXPIRY_PERIOD) => Step::Expire,
        }
    }

    async fn send(&mut self, id: u64) -> Result<(), peer::PeerError> {
        let Some(frame) = self.pending.take_frame(id) else { return Ok(()) };
        let send = self.connection.writer.send(frame);
        monoio::time::timeout(self.silence_limit, send)
            .await
            .map_err(|_| peer::PeerError::TimedOut)?
    }

    fn receive(&mut self, frame: &peer::Frame) -> Result<Option<End>, peer::PeerError> {
        let malformed = |error: codec::CodecError| peer::PeerError::Malformed(error.to_string());
        match frame.kind() {
            peer::FrameKind::Reply => {
                let result: protocol::CallResult = codec::decode(&frame.body).map_err(malformed)?;
                if let Ok(protocol::Answer::Redirect(leader)) = result {
                    return Ok(Some(End::Redirected(leader)));
                }
                self.pending.resolve(frame.id, result);
            }
            peer::FrameKind::Push => {
                let push = codec::decode(&frame.body).map_err(malformed)?;
                self.pushes.send(push).ok();
            }
            _ => {
                let message = format!("a frame of kind {} is not for an entry", frame.kind);
                return Err(peer::PeerError::Malformed(message));
            }
        }
        Ok(None)
    }
}
