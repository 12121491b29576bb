use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Connection, Frame, Identity, PeerError};

/// Maximum number of messages queued for a member; the consensus protocol resends lost messages.
pub(crate) const MAX_QUEUED_MESSAGES: usize = 1_024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a send that does not complete counts as a dead connection.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a frame from the member after which a keep-alive is sent to it.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(2);
/// Pause before reconnecting to a member.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Time without an answer to a keep-alive after which the connection is replaced: a connection that
/// is broken between its two ends accepts bytes without delivering them.
const MAX_UNANSWERED: Duration = Duration::from_millis(900);

/// Sends the frames of the queue to a member, reconnecting as needed, until the queue is closed.
pub async fn link<N>(
    name: N,
    address: SocketAddr,
    identity: Identity,
    frames: flume::Receiver<Frame>,
) where
    N: fmt::Display,
{
    let mut was_reached = true;
    loop {
        let end = run_connection(&name, address, &identity, &frames, &mut was_reached).await;
        let Err(error) = end else { return };
        // The queue of a member that cannot be reached is closed as well once it is not needed.
        if frames.is_disconnected() {
            return;
        }
        if was_reached {
            log::info!(target: "peer", member:% = name, address:% = address, reason:% = error; "connection to member failed");
            was_reached = false;
        }
        monoio::time::sleep(RECONNECT_PAUSE).await;
        // Messages queued meanwhile are outdated; the consensus protocol resends those that matter.
        frames.drain();
    }
}

async fn run_connection<N>(
    name: &N,
    address: SocketAddr,
    identity: &Identity,
    frames: &flume::Receiver<Frame>,
    was_reached: &mut bool,
) -> Result<(), PeerError>
where
    N: fmt::Display,
{
    let mut connection = Connection::connect(address, identity, CONNECT_TIMEOUT).await?;
    if !*was_reached {
        log::info!(target: "peer", member:% = name, address:% = address; "connected to member");
        *was_reached = true;
    }
    let mut received_at = Instant::now();
    let mut unanswered_since: Option<Instant> = None;
    loop {
        monoio::select! {
            frame = frames.recv_async() => {
                let Ok(frame) = frame else { return Ok(()) };
                send(&mut connection, frame).await?;
                for frame in frames.try_iter().take(MAX_QUEUED_MESSAGES) {
                    send(&mut connection, frame).await?;
                }
                if received_at.elapsed() > KEEP_ALIVE_PERIOD && unanswered_since.is_none() {
                    send_keep_alive(&mut connection, &mut unanswered_since).await?;
                }
                if unanswered_since.is_some_and(|since| since.elapsed() > MAX_UNANSWERED) {
                    return Err(PeerError::TimedOut);
                }
            }
            () = monoio::time::sleep(KEEP_ALIVE_PERIOD) => {
                send_keep_alive(&mut connection, &mut unanswered_since).await?;
            }
            frame = connection.reader.next() => {
                frame?;
                received_at = Instant::now();
                unanswered_since = None;
            }
        }
    }
}

/// Sends a keep-alive, which the member answers.
async fn send_keep_alive(
    connection: &mut Connection,
    unanswered_since: &mut Option<Instant>,
) -> Result<(), PeerError> {
    unanswered_since.get_or_insert_with(Instant::now);
    send(connection, Frame::keep_alive()).await
}

async fn send(connection: &mut Connection, frame: Frame) -> Result<(), PeerError> {
    let send = connection.writer.send(frame);
    monoio::time::timeout(SEND_TIMEOUT, send).await.map_err(|_| PeerError::TimedOut)?
}
