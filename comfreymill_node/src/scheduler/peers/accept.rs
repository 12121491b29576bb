use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_group::id;
use comfreymill_group::message;
use monoio::net::{TcpListener, TcpStream};

use crate::jobcall;
use crate::peer;
use crate::scheduler::core::Input;

const MAX_STRANGERS: usize = 64;
const MAX_QUEUED_FRAMES: usize = 4_096;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const SILENCE_LIMIT: Duration = Duration::from_secs(8);

/// Connection of a process that calls the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::scheduler) struct SessionId(u64);

/// Accepts peers for ever.
pub(in crate::scheduler) async fn listen(
    listener: TcpListener,
    identity: peer::Identity,
    inputs: flume::Sender<Input>,
) {
    let mut number = 0;
    let strangers = Rc::new(());
    loop {
        match listener.accept().await {
            // Each connection holds one reference until its peer has proved itself.
            Ok(_) if Rc::strong_count(&strangers) > MAX_STRANGERS => {
                log::warn!(target: "peer", "too many peers have not proved themselves yet");
            }
            Ok((stream, _)) => {
                number += 1;
                let stranger = Rc::clone(&strangers);
                let session = SessionId(number);
                monoio::spawn(serve(stream, identity.clone(), inputs.clone(), session, stranger));
            }
            Err(error) => {
                log::warn!(target: "peer", reason:% = error; "no connection was accepted");
                monoio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    identity: peer::Identity,
    inputs: flume::Sender<Input>,
    session: SessionId,
    stranger: Rc<()>,
) {
    let connection = match peer::Connection::accept(stream, &identity).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!(target: "peer", reason:% = error; "a peer was refused");
            return;
        }
    };
    drop(stranger);
    let (tx, rx) = flume::bounded(MAX_QUEUED_FRAMES);
    let peer::Connection { peer, reader, writer } = connection;
    monoio::spawn(write(writer, rx));
    if peer.role() == peer::Role::Entry {
        inputs.send(Input::Opened { session, frames: tx.clone() }).ok();
    }
    let end = read(reader, &peer, session, &inputs, &tx).await;
    log::debug!(target: "peer", peer = peer.name.as_str(), reason:% = end; "a connection has ended");
    inputs.send(Input::Closed(session)).ok();
}

async fn read(
    mut reader: peer::FrameReader,
    peer: &peer::Hello,
    session: SessionId,
    inputs: &flume::Sender<Input>,
    frames: &flume::Sender<peer::Frame>,
) -> peer::PeerError {
    loop {
        let frame = match reader.next_within(SILENCE_LIMIT).await {
            Ok(frame) => frame,
            Err(error) => return error,
        };
        if frame.kind() == peer::FrameKind::Alive {
            let alive = peer::Frame::new(peer::FrameKind::Alive, 0, Bytes::new());
            // A full queue shows the peer a silent connection, which it is.
            frames.try_send(alive).ok();
            continue;
        }
        let input = match input(&frame, peer, session) {
            Ok(input) => input,
            Err(error) => return error,
        };
        if inputs.send(input).is_err() {
            return peer::PeerError::Closed;
        }
    }
}

fn input(
    frame: &peer::Frame,
    peer: &peer::Hello,
    session: SessionId,
) -> Result<Input, peer::PeerError> {
    let malformed = |text: String| peer::PeerError::Malformed(text);
    match frame.kind() {
        peer::FrameKind::Call => {
            let call = jobcall::decode(&frame.body).map_err(|e| malformed(e.to_string()))?;
            Ok(Input::Call { session, id: frame.id, call })
        }
        peer::FrameKind::Group if peer.role() == peer::Role::Control => {
            let message = message::Message::from_bytes(frame.body.clone());
            let message = message.map_err(|e| malformed(e.to_string()))?;
            Ok(Input::Group { from: id::VoterId::new(peer.replica), message })
        }
        _ => Err(malformed(format!("a frame of kind {} is not expected", frame.kind))),
    }
}

async fn write(mut writer: peer::FrameWriter, frames: flume::Receiver<peer::Frame>) {
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
