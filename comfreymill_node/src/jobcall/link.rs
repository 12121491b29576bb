use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use super::shared::{PendingCall, Shared};
use super::{Members, Reply, codec};
use crate::peer;

/// Maximum time to connect to a member; two regions are 20 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after a connection ends, before it is opened again; doubled after each failure.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(40);
/// Maximum pause before a connection is opened again.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(640);
/// Silence of a member with unanswered calls or an unanswered keep-alive after which the connection
/// is closed.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_000);
/// Maximum time without a sent frame before a keep-alive frame is sent.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(2);
/// Interval between checks of the timers.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Interval between checks for members that are not connected yet.
const MEMBERS_PERIOD: Duration = Duration::from_millis(100);

/// Configuration of the connections to the members of the group.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// Identity of this process.
    pub identity: peer::Identity,
    /// Addresses that are tried first.
    pub seeds: Vec<Ipv4Addr>,
    /// Port for peers, which is the same on every machine.
    pub peers_port: u16,
}

/// Maintains a connection to every member of the group.
pub(super) async fn run(cfg: LinkConfig, shared: Shared) {
    let mut linked: Vec<(Ipv4Addr, flume::Sender<()>)> = Vec::new();
    loop {
        let addresses = shared.addresses();
        shared.report_search(&addresses);
        linked.retain(|(member, _)| addresses.contains(member));
        for member in addresses {
            if linked.iter().all(|(other, _)| *other != member) {
                let (keep, kept) = flume::bounded(1);
                monoio::spawn(link(cfg.clone(), member, shared.clone(), kept));
                linked.push((member, keep));
            }
        }
        monoio::time::sleep(MEMBERS_PERIOD).await;
    }
}

/// Keeps the connection to a member open until the sender of `kept` is dropped.
async fn link(cfg: LinkConfig, member: Ipv4Addr, shared: Shared, kept: flume::Receiver<()>) {
    let address = SocketAddr::new(IpAddr::V4(member), cfg.peers_port);
    let mut pause = MIN_RECONNECT_PAUSE;
    while !kept.is_disconnected() {
        match peer::Connection::connect(address, &cfg.identity, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                pause = MIN_RECONNECT_PAUSE;
                let calls = shared.connected(member);
                let reason = send_calls(connection, member, &calls, &shared, &kept).await;
                shared.disconnected(member, &reason);
            }
            Err(error) => {
                log::debug!(target: "link", peer:% = member, reason:% = error; "a member cannot be reached");
            }
        }
        monoio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RECONNECT_PAUSE);
    }
}

/// Sends calls over one connection until it fails or is not needed; returns the reason.
async fn send_calls(
    mut connection: peer::Connection,
    member: Ipv4Addr,
    calls: &flume::Receiver<PendingCall>,
    shared: &Shared,
    kept: &flume::Receiver<()>,
) -> String {
    let mut timers = Timers::start();
    let mut next_id = 0;
    loop {
        if timers.is_due() {
            if kept.is_disconnected() {
                return "the peer is no longer a member".to_owned();
            }
            if timers.is_silent() {
                return "the peer does not answer".to_owned();
            }
            shared.forget_abandoned(member);
            if timers.needs_keep_alive() {
                timers.sent();
                if let Err(reason) = send(&mut connection, peer::Frame::keep_alive()).await {
                    return reason;
                }
            }
        }
        monoio::select! {
            frame = connection.reader.next() => {
                let frame = match frame {
                    Ok(frame) => frame,
                    Err(error) => return error.to_string(),
                };
                timers.received();
                match frame.kind() {
                    peer::FrameKind::Push => {
                        let Ok(update) = codec::decode::<Members>(&frame.body) else {
                            return "the peer sent a malformed list of members".to_owned();
                        };
                        shared.heard(member, update);
                    }
                    peer::FrameKind::Reply => {
                        let reply = codec::decode(&frame.body).unwrap_or(Reply::Unknown);
                        shared.answered(member, frame.id, reply);
                    }
                    _ => {}
                }
            }
            call = calls.recv_async() => {
                let Ok(call) = call else { return "the process is stopping".to_owned() };
                if call.reply.is_disconnected() {
                    continue;
                }
                call.sent.set(true);
                next_id += 1;
                timers.sent();
                shared.sent(member, next_id, call.reply);
                let frame = peer::Frame::new(peer::FrameKind::Call, next_id, call.body);
                if let Err(reason) = send(&mut connection, frame).await {
                    return reason;
                }
            }
            () = monoio::time::sleep(CHECK_PERIOD) => {}
        }
    }
}

/// Sends a frame; returns the reason if the peer does not accept it in time.
async fn send(connection: &mut peer::Connection, frame: peer::Frame) -> Result<(), String> {
    let send = connection.writer.send(frame);
    match monoio::time::timeout(SILENCE_LIMIT, send).await {
        Ok(sent) => sent.map_err(|error| error.to_string()),
        Err(_) => Err("the peer does not accept data".to_owned()),
    }
}

/// Timers of one connection.
struct Timers {
    checked_at: Instant,
    sent_at: Instant,
    /// When the first frame was sent after the last one that was received.
    unanswered_since: Option<Instant>,
}

impl Timers {
    fn start() -> Self {
        let now = Instant::now();
        Self { checked_at: now, sent_at: now, unanswered_since: None }
    }

    /// Returns whether the timers have to be checked, also when frames keep arriving.
    fn is_due(&mut self) -> bool {
        let is_due = self.checked_at.elapsed() >= CHECK_PERIOD;
        if is_due {
            self.checked_at = Instant::now();
        }
        is_due
    }

    fn sent(&mut self) {
        self.sent_at = Instant::now();
        self.unanswered_since.get_or_insert(self.sent_at);
    }

    fn received(&mut self) {
        self.unanswered_since = None;
    }

    /// Returns whether the peer has sent nothing for too long, although it answers keep-alives even
    /// while its replies to calls have to wait.
    fn is_silent(&self) -> bool {
        self.unanswered_since.is_some_and(|since| since.elapsed() > SILENCE_LIMIT)
    }

    /// Returns whether a keep-alive is due: the connection is idle, or an answer takes long.
    fn needs_keep_alive(&self) -> bool {
        let is_slow = self.unanswered_since.is_some_and(|since| since.elapsed() >= CHECK_PERIOD);
        is_slow || self.sent_at.elapsed() > KEEP_ALIVE_PERIOD
    }
}
