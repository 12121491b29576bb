use std::rc::Rc;
use std::time::Duration;

use comfreymill_group::message;
use comfreymill_ledger::codec;
use monoio::net::{TcpListener, TcpStream};

use super::SessionId;
use crate::control::core::Input;
use crate::peer;

const MAX_STRANGERS: usize = 64;
const MAX_QUEUED_FRAMES: usize = 4_096;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const SILENCE_LIMIT: Duration = Duration::from_secs(10);

/// Accepts peers for ever.
pub(in crate::control) async fn listen(
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
                log::warn!(target: "peer", "Too many peers have not proved themselves yet.");
            }
            Ok((stream, _)) => {
                number += 1;
                let session = SessionId::new(number);
                let stranger = Rc::clone(&strangers);
                monoio::spawn(serve(stream, identity.clone(), inputs.clone(), session, stranger));
            }
            Err(error) => {
                log::warn!(target: "peer", "No connection was accepted: {error}.");
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
            log::warn!(target: "peer", "A peer was refused: {error}.");
            return;
        }
    };
    drop(stranger);
    let (tx, rx) = flume::bounded(MAX_QUEUED_FRAMES);
    let peer::Connection { peer, reader, writer } = connection;
    monoio::spawn(write(writer, rx));
    if peer.role() == peer::Role::Entry {
        inputs.send(Input::Opened { session, peer: Box::new(peer.clone()), frames: tx }).ok();
    }
    let end = read(reader, &peer, session, &inputs).await;
    log::info!(target: "peer", "The connection of {} ended: {end}.", peer.name);
    inputs.send(Input::Closed(session)).ok();
}

async fn read(
    mut reader: peer::FrameReader,
    peer: &peer::Hello,
    session: SessionId,
    inputs: &flume::Sender<Input>,
) -> peer::PeerError {
    loop {
        let frame = match reader.next_within(SILENCE_LIMIT).await {
            Ok(frame) => frame,
            Err(error) => return error,
        };
        if frame.kind() == peer::FrameKind::Alive {
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
    match (frame.kind(), peer.role()) {
        (peer::FrameKind::Call, peer::Role::Entry) => {
            let call = codec::decode(&frame.body).map_err(|e| malformed(e.to_string()))?;
            Ok(Input::Call { session, id: frame.id, call })
        }
        (peer::FrameKind::Group, peer::Role::Control) => {
            let message = message::Message::from_bytes(frame.body.clone());
            let message = message.map_err(|e| malformed(e.to_string()))?;
            Ok(Input::Group { from: peer.replica, message })
        }
        _ => Err(malformed(format!("a frame of kind {} is not expected", frame.kind))),
    }
}

async fn write(mut writer: peer::FrameWriter, frames: flume::Receiver<peer::Frame>) {
    while let Ok(frame) = frames.recv_async().await {
        if writer.send(frame).await.is_err() {
            return;
        }
    }
}
