use std::rc::Rc;
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
    let unauthenticated = Rc::new(());
    loop {
        match listener.accept().await {
            // Each connection holds one reference until its peer is authenticated.
            Ok(_) if Rc::strong_count(&unauthenticated) > MAX_UNAUTHENTICATED => {
                log::warn!(target: "peer", "connection refused: too many peers are not authenticated yet");
            }
            Ok((stream, _)) => {
                number += 1;
                let session = SessionId::new(number);
                let pending = Rc::clone(&unauthenticated);
                monoio::spawn(serve(stream, identity.clone(), inputs.clone(), session, pending));
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
    pending: Rc<()>,
) where
    I: Inbound,
{
    let connection = match Connection::accept(stream, &identity).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(target: "peer", reason:% = error; "refused a peer");
            return;
        }
    };
    drop(pending);
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
