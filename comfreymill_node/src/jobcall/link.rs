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
const PAUSE: Duration = Duration::from_millis(40);
/// Silence of a peer with unanswered calls after which the connection is closed.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_000);
/// Maximum time without a sent frame before a keep-alive frame is sent.
const ALIVE_PERIOD: Duration = Duration::from_secs(2);
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
pub(super) struct Asked {
    pub(super) body: Bytes,
    pub(super) reply: flume::Sender<Reply>,
    /// Set before the first byte of the call is written.
    pub(super) sent: Rc<Cell<bool>>,
}

/// Maintains a connection to the leader and sends calls over it.
pub(super) async fn run(
    cfg: LinkConfig,
    asked: flume::Receiver<Asked>,
    members: Rc<RefCell<Members>>,
) {
    let mut turn = 0;
    loop {
        let candidate = candidate(&cfg, &members.borrow(), &mut turn);
        let address = SocketAddr::new(IpAddr::V4(candidate), cfg.peers_port);
        let connected = peer::Connection::connect(address, &cfg.identity, CONNECT_TIMEOUT).await;
        let end = match connected {
            Ok(connection) => carry(connection, candidate, &asked, &members).await,
            Err(error) => error.to_string(),
        };
        let was_leader = members.borrow().leader == Some(candidate);
        if was_leader {
            log::info!(target: "link", peer:% = candidate, reason = end.as_str(); "the connection to the leader is lost");
            members.borrow_mut().leader = None;
        }
        monoio::time::sleep(PAUSE).await;
    }
}

/// Returns the leader if it is known, otherwise members and seeds in rotation.
fn candidate(cfg: &LinkConfig, members: &Members, turn: &mut usize) -> Ipv4Addr {
    if let Some(leader) = members.leader {
        return leader;
    }
    let mut known: Vec<Ipv4Addr> = members.all.clone();
    known.extend(cfg.seeds.iter().filter(|seed| !members.all.contains(seed)));
    *turn += 1;
    known.get(*turn % known.len().max(1)).copied().unwrap_or(Ipv4Addr::LOCALHOST)
}

/// Sends calls over one connection until it fails or the peer is not the leader; returns the
/// reason.
async fn carry(
    mut connection: peer::Connection,
    candidate: Ipv4Addr,
    asked: &flume::Receiver<Asked>,
    members: &RefCell<Members>,
) -> String {
    let mut open: BTreeMap<u64, (flume::Sender<Reply>, Instant)> = BTreeMap::new();
    let mut next_id = 0;
    let mut heard_at = Instant::now();
    let mut spoke_at = Instant::now();
    let mut leads = false;
    loop {
        monoio::select! {
            frame = connection.reader.next() => {
                let frame = match frame {
                    Ok(frame) => frame,
                    Err(error) => return error.to_string(),
                };
                heard_at = Instant::now();
                match frame.kind() {
                    peer::FrameKind::Push => {
                        let Ok(news) = codec::decode::<Members>(&frame.body) else {
                            return "the peer sent a malformed list of members".to_owned();
                        };
                        leads = news.leader == Some(candidate);
                        if leads && members.borrow().leader != Some(candidate) {
                            log::info!(target: "link", peer:% = candidate; "the leader is connected");
                        }
                        let leader = news.leader;
                        *members.borrow_mut() = news;
                        if !leads && open.is_empty() {
                            return match leader {
                                Some(leader) => format!("the peer is not the leader, {leader} is"),
                                None => "the peer knows of no leader".to_owned(),
                            };
                        }
                    }
                    peer::FrameKind::Reply => {
                        let Some((reply, _)) = open.remove(&frame.id) else { continue };
                        let answer = codec::decode(&frame.body).unwrap_or(Reply::Unknown);
                        // The caller may have timed out.
                        reply.send(answer).ok();
                        if !leads && open.is_empty() {
                            return "the peer is no longer the leader".to_owned();
                        }
                    }
                    _ => {}
                }
            }
            call = next_call(asked, leads) => {
                let Some(call) = call else { return "the process is stopping".to_owned() };
                if call.reply.is_disconnected() {
                    continue;
                }
                call.sent.set(true);
                next_id += 1;
                spoke_at = Instant::now();
                if open.is_empty() {
                    heard_at = spoke_at;
                }
                open.insert(next_id, (call.reply, spoke_at));
                let frame = peer::Frame::new(peer::FrameKind::Call, next_id, call.body);
                let send = connection.writer.send(frame);
                match monoio::time::timeout(SILENCE_LIMIT, send).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => return error.to_string(),
                    Err(_) => return "the peer does not accept data".to_owned(),
                }
            }
            () = monoio::time::sleep(CHECK_PERIOD) => {
                if !open.is_empty() && heard_at.elapsed() > SILENCE_LIMIT {
                    return "the peer does not answer".to_owned();
                }
                if spoke_at.elapsed() > ALIVE_PERIOD {
                    spoke_at = Instant::now();
                    if let Err(error) = connection.writer.send(peer::Frame::alive()).await {
                        return error.to_string();
                    }
                }
            }
        }
    }
}

/// Returns the next call; never completes if the peer is not the leader.
async fn next_call(asked: &flume::Receiver<Asked>, leads: bool) -> Option<Asked> {
    if !leads {
        std::future::pending::<()>().await;
    }
    asked.recv_async().await.ok()
}
