//! Connections to the other voters, for the group's messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_group::id;
use comfreymill_group::message;
use comfreymill_types::id as name;

use crate::peer;

const MAX_QUEUED_MESSAGES: usize = 1_024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
const ALIVE_PERIOD: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(50);

/// Senders to the other voters.
#[derive(Debug, Default)]
pub(super) struct Voters {
    links: BTreeMap<id::VoterId, flume::Sender<peer::Frame>>,
    names: BTreeMap<id::VoterId, name::VoterName>,
}

/// Replica id of a voter: the same on every process, new for a new name.
pub(super) fn replica_id(name: &name::VoterName) -> id::VoterId {
    id::VoterId::new(number(name.as_str()))
}

/// Number that stands for a name, the same on every process.
pub(super) fn number(name: &str) -> u64 {
    let digest = name::Digest::of(name.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&digest.as_bytes()[..8]);
    // Zero stands for none.
    u64::from_be_bytes(head) | 1
}

impl Voters {
    /// Starts a task for each other voter.
    pub(super) fn start(
        own: &name::VoterName,
        voters: &[(name::VoterName, SocketAddr)],
        identity: &peer::Identity,
    ) -> Self {
        let mut this = Self::default();
        for (name, address) in voters {
            let id = replica_id(name);
            this.names.insert(id, name.clone());
            if name == own {
                continue;
            }
            let (tx, rx) = flume::bounded(MAX_QUEUED_MESSAGES);
            this.links.insert(id, tx);
            monoio::spawn(run(name.clone(), *address, identity.clone(), rx));
        }
        this
    }

    /// Sends a message; it is lost where the voter cannot take it.
    pub(super) fn send(&self, to: id::VoterId, message: &message::Message) {
        if let Some(link) = self.links.get(&to) {
            let frame = peer::Frame::new(peer::FrameKind::Group, 0, message.to_bytes());
            // The group's protocol sends again what is lost.
            link.try_send(frame).ok();
        }
    }

    /// Name of a voter.
    pub(super) fn name(&self, id: id::VoterId) -> Option<&name::VoterName> {
        self.names.get(&id)
    }
}

async fn run(
    name: name::VoterName,
    address: SocketAddr,
    identity: peer::Identity,
    frames: flume::Receiver<peer::Frame>,
) {
    let mut is_reported = false;
    loop {
        match connect(address, &identity, &frames).await {
            Ok(()) => return,
            Err(error) if !is_reported => {
                log::info!(target: "peer", "Voter {name} at {address} is not reached: {error}.");
                is_reported = true;
            }
            Err(peer::PeerError::Closed) => is_reported = false,
            Err(_) => {}
        }
        monoio::time::sleep(PAUSE).await;
        // What waited meanwhile is old; the group's protocol sends again what matters.
        frames.drain();
    }
}

async fn connect(
    address: SocketAddr,
    identity: &peer::Identity,
    frames: &flume::Receiver<peer::Frame>,
) -> Result<(), peer::PeerError> {
    let mut connection = peer::Connection::connect(address, identity, CONNECT_TIMEOUT).await?;
    loop {
        monoio::select! {
            frame = frames.recv_async() => {
                let Ok(frame) = frame else { return Ok(()) };
                let send = connection.writer.send(frame);
                monoio::time::timeout(SEND_TIMEOUT, send)
                    .await
                    .map_err(|_| peer::PeerError::Silent)??;
            }
            () = monoio::time::sleep(ALIVE_PERIOD) => {
                let alive = peer::Frame::new(peer::FrameKind::Alive, 0, Bytes::new());
                connection.writer.send(alive).await?;
            }
            end = connection.reader.next() => {
                // The other side sends nothing on this connection but its end.
                end?;
            }
        }
    }
}
