use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use comfreymill_group::id;
use comfreymill_group::message;

use crate::peer;
use crate::scheduler::member_id;

const MAX_QUEUED_MESSAGES: usize = 1_024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A member that takes nothing for so long is behind a connection that went silent.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);
const ALIVE_PERIOD: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(50);
/// Age at which a connection over which nothing comes back is made anew: one that lost its way
/// between the two ends takes bytes without delivering them.
const MAX_UNANSWERED: Duration = Duration::from_millis(900);

/// Senders to other members, by address.
#[derive(Debug)]
pub(in crate::scheduler) struct Links {
    identity: peer::Identity,
    peers_port: u16,
    links: BTreeMap<Ipv4Addr, flume::Sender<peer::Frame>>,
}

impl Links {
    /// Links that introduce themselves by `identity`.
    pub(in crate::scheduler) fn new(identity: peer::Identity, peers_port: u16) -> Self {
        Self { identity, peers_port, links: BTreeMap::new() }
    }

    /// Sends a message; it is lost where the member can't take it.
    pub(in crate::scheduler) fn send(&mut self, to: id::VoterId, message: &message::Message) {
        let address = member_id::address(to);
        let frame = peer::Frame::new(peer::FrameKind::Group, 0, message.to_bytes());
        let link = self.links.entry(address).or_insert_with(|| {
            let (tx, rx) = flume::bounded(MAX_QUEUED_MESSAGES);
            let socket = SocketAddr::new(IpAddr::V4(address), self.peers_port);
            monoio::spawn(run(socket, self.identity.clone(), rx));
            tx
        });
        // The group's protocol sends again what is lost.
        link.try_send(frame).ok();
    }

    /// Ends the links to addresses that `is_needed` doesn't name.
    pub(in crate::scheduler) fn retain<F>(&mut self, is_needed: F)
    where
        F: Fn(Ipv4Addr) -> bool,
    {
        self.links.retain(|address, _| is_needed(*address));
    }
}

async fn run(address: SocketAddr, identity: peer::Identity, frames: flume::Receiver<peer::Frame>) {
    let mut was_reached = true;
    loop {
        let end = carry(address, &identity, &frames, &mut was_reached).await;
        let Err(error) = end else { return };
        if was_reached {
            log::info!(target: "peer", address:% = address, reason:% = error; "a member is not reached");
            was_reached = false;
        }
        monoio::time::sleep(PAUSE).await;
        // What waited meanwhile is old; the group's protocol sends again what matters.
        frames.drain();
    }
}

async fn carry(
    address: SocketAddr,
    identity: &peer::Identity,
    frames: &flume::Receiver<peer::Frame>,
    was_reached: &mut bool,
) -> Result<(), peer::PeerError> {
    let mut connection = peer::Connection::connect(address, identity, CONNECT_TIMEOUT).await?;
    if !*was_reached {
        log::info!(target: "peer", address:% = address; "a member is reached");
        *was_reached = true;
    }
    let mut heard_at = std::time::Instant::now();
    let mut asked_at: Option<std::time::Instant> = None;
    loop {
        monoio::select! {
            frame = frames.recv_async() => {
                let Ok(frame) = frame else { return Ok(()) };
                send(&mut connection, frame).await?;
                for frame in frames.try_iter().take(MAX_QUEUED_MESSAGES) {
                    send(&mut connection, frame).await?;
                }
                if heard_at.elapsed() > ALIVE_PERIOD && asked_at.is_none() {
                    ask(&mut connection, &mut asked_at).await?;
                }
                if asked_at.is_some_and(|it| it.elapsed() > MAX_UNANSWERED) {
                    return Err(peer::PeerError::Silent);
                }
            }
            () = monoio::time::sleep(ALIVE_PERIOD) => ask(&mut connection, &mut asked_at).await?,
            frame = connection.reader.next() => {
                frame?;
                heard_at = std::time::Instant::now();
                asked_at = None;
            }
        }
    }
}

/// Asks the member for a sign of life.
async fn ask(
    connection: &mut peer::Connection,
    asked_at: &mut Option<std::time::Instant>,
) -> Result<(), peer::PeerError> {
    asked_at.get_or_insert_with(std::time::Instant::now);
    send(connection, peer::Frame::new(peer::FrameKind::Alive, 0, Bytes::new())).await
}

async fn send(
    connection: &mut peer::Connection,
    frame: peer::Frame,
) -> Result<(), peer::PeerError> {
    let sending = connection.writer.send(frame);
    monoio::time::timeout(SEND_TIMEOUT, sending).await.map_err(|_| peer::PeerError::Silent)?
}
