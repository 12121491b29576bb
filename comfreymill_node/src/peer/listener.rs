use std::collections::VecDeque;
use std::time::Duration;

use monoio::net::{TcpListener, TcpStream};

use super::connection::{Connection, FrameReader, FrameWriter};
use super::frame::{Frame, FrameKind};
use super::{Hello, Identity, Inbound, PeerError, SessionId};

/// Maximum number of connections whose peers are not authenticated yet.
const MAX_UNAUTHENTICATED: usize = 64;
/// Maximum number of frames queued for a peer; a peer that falls this far behind counts as gone.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Pause after a failure to accept a connection, since file descriptors may have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of peers forever; each connection has a task that reads and one that writes.
pub(crate) async fn listen<I>(listener: TcpListener, identity: Identity, inputs: flume::Sender<I>)
where
    I: Inbound,
{
    let mut number = 0;
    // Each handshake ends when its sender is dropped, and drops its receiver when it is complete.
    let mut handshakes: VecDeque<flume::Sender<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                handshakes.retain(|handshake| !handshake.is_disconnected());
                // A handshake takes a few round trips, so the oldest one is most likely with a peer that
                // is gone.
                if handshakes.len() >= MAX_UNAUTHENTICATED {
                    log::warn!(target: "peer", "the oldest handshake is ended: too many peers are not authenticated yet");
                    handshakes.pop_front();
                }
                number += 1;
                let session = SessionId::new(number);
                let (keep, kept) = flume::bounded(1);
                handshakes.push_back(keep);
                monoio::spawn(serve(stream, identity.clone(), inputs.clone(), session, kept));
            }
            Err(error) => {
                log::warn!(target: "peer", reason:% = error; "cannot accept a connection");
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<I>(
    stream: TcpStream,
    identity: Identity,
    inputs: flume::Sender<I>,
    session: SessionId,
    kept: flume::Receiver<()>,
) where
    I: Inbound,
{
    let accepted = monoio::select! {
        accepted = Connection::accept(stream, &identity) => accepted,
        _ = kept.recv_async() => return,
    };
    let connection = match accepted {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(target: "peer", reason:% = error; "refused a peer");
            return;
        }
    };
    drop(kept);
    let (tx, rx) = flume::bounded(MAX_QUEUED_FRAMES);
    let Connection { peer, reader, writer } = connection;
    monoio::spawn(write(writer, rx));
    if let Some(opened) = I::opened(session, &peer, tx.clone()) {
        inputs.send(opened).ok();
    }
    let end = read(reader, &peer, session, &inputs, &tx).await;
    log::debug!(target: "peer", peer = peer.name.as_str(), reason:% = end; "connection ended");
    inputs.send(I::closed(session)).ok();
}

async fn read<I>(
    mut reader: FrameReader,
    peer: &Hello,
    session: SessionId,
    inputs: &flume::Sender<I>,
    frames: &flume::Sender<Frame>,
) -> PeerError
where
    I: Inbound,
{
    loop {
        let frame = match reader.next_within(I::IDLE_TIMEOUT).await {
            Ok(frame) => frame,
            Err(error) => return error,
        };
        if frame.kind() == FrameKind::Alive {
            // With a full queue the keep-alive is dropped, and the peer rightly takes the
            // connection for dead.
            frames.try_send(Frame::keep_alive()).ok();
            continue;
        }
        let sent = match I::received(session, peer, &frame, frames) {
            Ok(input) => inputs.send(input),
            Err(error) => return error,
        };
        if sent.is_err() {
            return PeerError::Closed;
        }
    }
}

async fn write(mut writer: FrameWriter, frames: flume::Receiver<Frame>) {
    while let Ok(frame) = frames.recv_async().await {
        if writer.feed(frame).await.is_err() {
            return;
        }
        for frame in frames.try_iter().take(MAX_QUEUED_FRAMES) {
            if writer.feed(frame).await.is_err() {
                return;
            }
        }
        if writer.flush().await.is_err() {
            return;
        }
    }
}
