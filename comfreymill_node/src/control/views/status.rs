use bytes::Bytes;
use comfreymill_batch::scheduler;
use comfreymill_group::membership;
use comfreymill_group::replica;
use comfreymill_ledger::ledger;
use comfreymill_types::id;
use comfreymill_types::time;

use super::to_json;
use crate::control::leader::Leader;
use crate::control::voters::Voters;

#[derive(serde::Serialize)]
struct StatusView<'a> {
    role: String,
    term: u64,
    is_serving: bool,
    leader: Option<&'a id::VoterName>,
    commit: u64,
    last: u64,
    snapshot: u64,
    members: Vec<MemberView<'a>>,
    newcomers: Vec<&'a id::VoterName>,
    applied: u64,
    documents_revision: u64,
    jobs: usize,
    batch: Option<scheduler::Status>,
    quarantined: Vec<id::WorkerName>,
    entries: Vec<EntryView<'a>>,
    executors: Vec<ExecutorView<'a>>,
}

#[derive(serde::Serialize)]
struct MemberView<'a> {
    voter: Option<&'a id::VoterName>,
    is_voter: bool,
    /// Index of the last log entry that the leader knows to be synced on this member.
    matched: Option<u64>,
    silent_for_ms: Option<u128>,
}

#[derive(serde::Serialize)]
struct EntryView<'a> {
    name: &'a id::EntryName,
    zone: &'a id::ZoneName,
    incarnation: id::Incarnation,
    is_draining: bool,
    heard_ms_ago: u128,
}

#[derive(serde::Serialize)]
struct ExecutorView<'a> {
    name: &'a id::ExecutorName,
    service: &'a id::ServiceName,
    zone: &'a id::ZoneName,
    slots: u32,
    is_leaving: bool,
    heard_ms_ago: u128,
}

/// Returns the state of this replica and, on the leader, of the fleet.
pub(in crate::control) fn status(
    replica: &replica::Status,
    voters: &Voters,
    ledger: &ledger::Ledger,
    leader: Option<&Leader>,
    now: time::Monotonic,
) -> Bytes {
    let entries = leader.into_iter().flat_map(Leader::get_entries).map(|(name, info)| EntryView {
        name,
        zone: &info.zone,
        incarnation: info.incarnation,
        is_draining: info.is_draining,
        heard_ms_ago: now.since(info.last_heard).as_millis(),
    });
    let executors = leader.into_iter().flat_map(Leader::get_executors).map(|(name, info)| {
        let announced = &info.announcement;
        ExecutorView {
            name,
            service: &announced.service,
            zone: &announced.zone,
            slots: announced.slots,
            is_leaving: announced.state == crate::protocol::UpstreamState::Leaving,
            heard_ms_ago: now.since(info.last_heard).as_millis(),
        }
    });
    to_json(&StatusView {
        role: replica.role.to_string(),
        term: replica.term.get(),
        is_serving: replica.serving,
        leader: replica.leader.and_then(|leader| voters.name(leader)),
        commit: replica.commit.get(),
        last: replica.last.get(),
        snapshot: replica.snapshot.get(),
        members: member_views(replica, voters),
        newcomers: replica
            .newcomers
            .iter()
            .filter_map(|newcomer| voters.name(newcomer.voter))
            .collect(),
        applied: ledger.get_applied(),
        documents_revision: ledger.get_documents_revision(),
        jobs: ledger.get_jobs().len(),
        batch: leader.map(Leader::get_batch_status),
        quarantined: leader.map(Leader::get_quarantined).unwrap_or_default(),
        entries: entries.collect(),
        executors: executors.collect(),
    })
}

fn member_views<'a>(replica: &replica::Status, voters: &'a Voters) -> Vec<MemberView<'a>> {
    let view = |(id, member): (comfreymill_group::id::VoterId, membership::Member)| {
        let peer = replica.peers.iter().find(|peer| peer.voter == id);
        MemberView {
            voter: voters.name(id),
            is_voter: member.is_voter(),
            matched: peer.map(|peer| peer.matched.get()),
            silent_for_ms: peer.and_then(|peer| peer.silent_for).map(|span| span.as_millis()),
        }
    };
    replica.membership.iter().map(view).collect()
}
