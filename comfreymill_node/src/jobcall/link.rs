use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::{Members, Reply, codec};
use crate::peer;

/// Maximum time to connect to a candidate; two regions are 20 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after a connection ends or fails, before the next candidate is tried.
const RECONNECT_PAUSE: Duration = Duration::from_millis(40);
/// Silence of a peer with unanswered calls after which the connection is closed.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_000);
/// Maximum time without a sent frame before a keep-alive frame is sent.
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(2);
/// Interval between checks of the timers.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Configuration of the connection to the leader.
#[derive(Clone, Debug)]
pub(crate) struct LinkConfig {
    /// Identity of this process.
    pub(crate) identity: peer::Identity,
    /// Addresses that are tried first.
    pub(crate) seeds: Vec<Ipv4Addr>,
    /// Port for peers, which is the same on every machine.
    pub(crate) peers_port: u16,
}

/// Call that waits to be sent or answered.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub(super) body: Bytes,
    pub(super) reply: flume::Sender<Reply>,
    /// Set before the first byte of the call is written.
    pub(super) sent: Rc<Cell<bool>>,
}

/// Maintains a connection to the leader and sends calls over it.
pub(super) async fn run(
    cfg: LinkConfig,
    calls: flume::Receiver<PendingCall>,
    members: Rc<RefCell<Members>>,
) {
    let mut rotation = 0;
    loop {
        let candidate = next_candidate(&cfg, &members.borrow(), &mut rotation);
        let address = SocketAddr::new(IpAddr::V4(candidate), cfg.peers_port);
        let connected = peer::Connection::connect(address, &cfg.identity, CONNECT_TIMEOUT).await;
        let reason = match connected {
            Ok(connection) => send_calls(connection, candidate, &calls, &members).await,
            Err(error) => error.to_string(),
        };
        let was_leader = members.borrow().leader == Some(candidate);
        if was_leader {
            log::info!(target: "link", peer:% = candidate, reason = reason.as_str(); "the connection to the leader is lost");
            members.borrow_mut().leader = None;
        }
        monoio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Returns the leader if it is known, otherwise members and seeds in rotation.
fn next_candidate(cfg: &LinkConfig, members: &Members, rotation: &mut usize) -> Ipv4Addr {
    if let Some(leader) = members.leader {
        return leader;
    }
    let mut addresses: Vec<Ipv4Addr> = members.all.clone();
    addresses.extend(cfg.seeds.iter().filter(|seed| !members.all.contains(seed)));
    *rotation += 1;
    addresses.get(*rotation % addresses.len().max(1)).copied().unwrap_or(Ipv4Addr::LOCALHOST)
}

/// Sends calls over one connection until it fails or the peer is not the leader; returns the
/// reason.
async fn send_calls(
    mut connection: peer::Connection,
    candidate: Ipv4Addr,
    calls: &flume::Receiver<PendingCall>,
    members: &RefCell<Members>,
) -> String {
    let mut unanswered: BTreeMap<u64, (flume::Sender<Reply>, Instant)> = BTreeMap::new();
    let mut next_id = 0;
    let mut received_at = Instant::now();
    let mut sent_at = Instant::now();
    let mut is_leader = false;
    loop {
        monoio::select! {
            frame = connection.reader.next() => {
                let frame = match frame {
                    Ok(frame) => frame,
                    Err(error) => return error.to_string(),
                };
                received_at = Instant::now();
                match frame.kind() {
                    peer::FrameKind::Push => {
                        let Ok(update) = codec::decode::<Members>(&frame.body) else {
                            return "the peer sent a malformed list of members".to_owned();
                        };
                        is_leader = update.leader == Some(candidate);
                        if is_leader && members.borrow().leader != Some(candidate) {
                            log::info!(target: "link", peer:% = candidate; "the leader is connected");
                        }
                        let leader = update.leader;
                        *members.borrow_mut() = update;
                        if !is_leader && unanswered.is_empty() {
                            return match leader {
                                Some(leader) => format!("the peer is not the leader, {leader} is"),
                                None => "the peer knows of no leader".to_owned(),
                            };
                        }
                    }
                    peer::FrameKind::Reply => {
                        let Some((reply, _)) = unanswered.remove(&frame.id) else { continue };
                        let answer = codec::decode(&frame.body).unwrap_or(Reply::Unknown);
                        // The caller may have timed out.
                        reply.send(answer).ok();
                        if !is_leader && unanswered.is_empty() {
                            return "the peer is no longer the leader".to_owned();
                        }
                    }
                    _ => {}
                }
            }
            call = next_call(calls, is_leader) => {
                let Some(call) = call else { return "the process is stopping".to_owned() };
                if call.reply.is_disconnected() {
                    continue;
                }
                call.sent.set(true);
                next_id += 1;
                sent_at = Instant::now();
                if unanswered.is_empty() {
                    received_at = sent_at;
                }
                unanswered.insert(next_id, (call.reply, sent_at));
                let frame = peer::Frame::new(peer::FrameKind::Call, next_id, call.body);
                let send = connection.writer.send(frame);
                match monoio::time::timeout(SILENCE_LIMIT, send).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => return error.to_string(),
                    Err(_) => return "the peer does not accept data".to_owned(),
                }
            }
            () = monoio::time::sleep(CHECK_PERIOD) => {
                if !unanswered.is_empty() && received_at.elapsed() > SILENCE_LIMIT {
                    return "the peer does not answer".to_owned();
                }
                if sent_at.elapsed() > KEEP_ALIVE_PERIOD {
                    sent_at = Instant::now();
                    if let Err(error) = connection.writer.send(peer::Frame::keep_alive()).await {
                        return error.to_string();
                    }
                }
            }
        }
    }
}

/// Returns the next call; never completes if the peer is not the leader.
async fn next_call(calls: &flume::Receiver<PendingCall>, is_leader: bool) -> Option<PendingCall> {
    if !is_leader {
        std::future::pending::<()>().await;
    }
    calls.recv_async().await.ok()
}
