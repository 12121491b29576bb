use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;

use super::{Members, Reply, codec};
use crate::peer;

/// Longest wait for a connection; two regions are 20 ms apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before the next candidate is tried.
const PAUSE: Duration = Duration::from_millis(40);
/// Silence of a peer that has calls to answer, after which its connection is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_000);
/// Time between signs of life on an unused connection.
const ALIVE_PERIOD: Duration = Duration::from_secs(2);
/// Time between looks at what is due.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Where leaders are looked for.
#[derive(Clone, Debug)]
pub(crate) struct LinkConfig {
    /// Who this process is.
    pub(crate) identity: peer::Identity,
    /// Processes that are asked first.
    pub(crate) seeds: Vec<Ipv4Addr>,
    /// Port for peers, the same everywhere.
    pub(crate) peers_port: u16,
}

/// Call on its way to the leader.
#[derive(Debug)]
pub(super) struct Asked {
    pub(super) body: Bytes,
    pub(super) reply: flume::Sender<Reply>,
    /// Set once any byte of it may have left.
    pub(super) sent: Rc<Cell<bool>>,
}

/// Keeps a connection to the leader and carries calls over it.
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

/// Leader if it is known, else members and seeds in turn.
fn candidate(cfg: &LinkConfig, members: &Members, turn: &mut usize) -> Ipv4Addr {
    if let Some(leader) = members.leader {
        return leader;
    }
    let mut known: Vec<Ipv4Addr> = members.all.clone();
    known.extend(cfg.seeds.iter().filter(|seed| !members.all.contains(seed)));
    *turn += 1;
    known.get(*turn % known.len().max(1)).copied().unwrap_or(Ipv4Addr::LOCALHOST)
}

/// Carries calls over one connection until it fails or its peer doesn't lead; gives the reason.
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
                            return "malformed members".to_owned();
                        };
                        leads = news.leader == Some(candidate);
                        if leads && members.borrow().leader != Some(candidate) {
                            log::info!(target: "link", peer:% = candidate; "the leader is connected");
                        }
                        let leader = news.leader;
                        *members.borrow_mut() = news;
                        if !leads && open.is_empty() {
                            return match leader {
                                Some(leader) => format!("{leader} leads"),
                                None => "no leader is known there".to_owned(),
                            };
                        }
                    }
                    peer::FrameKind::Reply => {
                        let Some((reply, _)) = open.remove(&frame.id) else { continue };
                        let answer = codec::decode(&frame.body).unwrap_or(Reply::Unknown);
                        // The caller may have given up.
                        reply.send(answer).ok();
                        if !leads && open.is_empty() {
                            return "the peer no longer leads".to_owned();
                        }
                    }
                    _ => {}
                }
            }
            call = next_call(asked, leads) => {
                let Some(call) = call else { return "the process is ending".to_owned() };
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
                    Err(_) => return "the peer takes nothing".to_owned(),
                }
            }
            () = monoio::time::sleep(CHECK_PERIOD) => {
                if !open.is_empty() && heard_at.elapsed() > SILENCE_LIMIT {
                    return "the peer is silent".to_owned();
                }
                if spoke_at.elapsed() > ALIVE_PERIOD {
                    spoke_at = Instant::now();
                    if let Err(error) = connection.writer.send(peer::Frame::keep_alive()).await {
                        return error.to_string();
                    }
                }
            }
        }
    }
}

/// Next call; waits for ever as long as the peer doesn't lead.
async fn next_call(asked: &flume::Receiver<Asked>, leads: bool) -> Option<Asked> {
    if !leads {
        std::future::pending::<()>().await;
    }
    asked.recv_async().await.ok()
}
