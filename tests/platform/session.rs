//! Connection of a gateway to one scheduler, which stays open until the test ends.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_node::jobcall::{self, Call, Members, Reply};
use comfreymill_node::peer;
use comfreymill_node::runtime;

/// Time between keep-alives, shorter than the time after which a silent peer is cut off.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_millis(200);
/// Longest time for the connection to be accepted on a machine that is busy.
const LIMIT: Duration = Duration::from_secs(30);

/// What the scheduler sends over the connection, in order.
pub(super) enum Received {
    Members(Members),
    Reply(Reply),
}

/// Connection that is kept alive by a thread.
pub(super) struct Session {
    calls: mpsc::Sender<Call>,
    received: mpsc::Receiver<Received>,
}

impl Session {
    /// Connects to the scheduler at `address`.
    pub(super) fn connect(address: Ipv4Addr, peers_port: u16, key: &str) -> Self {
        let hello = peer::Hello {
            version: peer::Hello::VERSION,
            cluster: "comfreymill".to_owned(),
            name: "gateway".to_owned(),
            role: peer::Role::Entry.into(),
            incarnation: 1,
            region: "tas-south".to_owned(),
            zone: "hobart-a".to_owned(),
            replica: 0,
            nonce: Bytes::new(),
        };
        let identity = peer::Identity { hello, key: peer::ClusterKey::new(key.to_owned()) };
        let address = SocketAddr::from((address, peers_port));
        let (calls, queued) = mpsc::channel();
        let (tx, received) = mpsc::channel();
        thread::spawn(move || runtime::block_on(exchange(address, identity, queued, tx)));
        // The scheduler says first who leads.
        received.recv_timeout(LIMIT).expect("the scheduler accepts a gateway");
        Self { calls, received }
    }

    /// Sends a call.
    pub(super) fn send(&self, call: Call) {
        self.calls.send(call).expect("the connection is open");
    }

    /// Returns the next frame, if one arrives within `limit`.
    pub(super) fn next(&self, limit: Duration) -> Option<Received> {
        self.received.recv_timeout(limit).ok()
    }
}

async fn exchange(
    address: SocketAddr,
    identity: peer::Identity,
    calls: mpsc::Receiver<Call>,
    received: mpsc::Sender<Received>,
) {
    let connection = peer::Connection::connect(address, &identity, Duration::from_secs(5)).await;
    let mut connection = connection.expect("the scheduler accepts a gateway");
    let mut next_id = 0;
    loop {
        for call in calls.try_iter() {
            next_id += 1;
            let frame = peer::Frame::new(peer::FrameKind::Call, next_id, jobcall::encode(&call));
            connection.writer.send(frame).await.expect("the connection is open");
        }
        connection.writer.send(peer::Frame::keep_alive()).await.expect("the connection is open");
        let frame = match connection.reader.next_within(KEEP_ALIVE_PERIOD).await {
            Ok(frame) => frame,
            Err(peer::PeerError::TimedOut) => continue,
            Err(_) => return,
        };
        let passed_on = match frame.kind() {
            peer::FrameKind::Push => {
                received.send(Received::Members(jobcall::decode(&frame.body).expect("members")))
            }
            peer::FrameKind::Reply => {
                received.send(Received::Reply(jobcall::decode(&frame.body).expect("a reply")))
            }
            _ => {
                thread::sleep(KEEP_ALIVE_PERIOD / 4);
                continue;
            }
        };
        if passed_on.is_err() {
            return;
        }
    }
}
