use std::net::SocketAddr;

use super::EntryAddresses;
use super::config::ClusterConfig;

pub(super) const ZONES: [(&str, &str); 3] =
    [("tas-south", "hobart-a"), ("tas-south", "kingston-b"), ("tas-north", "launceston-a")];

/// Addresses on which a control process listens.
#[derive(Clone, Copy, Debug)]
pub(super) struct ControlAddresses {
    pub(super) peers: SocketAddr,
    pub(super) operators: SocketAddr,
}

/// Returns the settings of the control process `index`.
pub(super) fn control(
    cfg: &ClusterConfig,
    own: ControlAddresses,
    voters: &[SocketAddr],
    index: usize,
) -> String {
    let mut text = common(cfg, voters, "control", &format!("control-{index}"), index);
    text.push_str(&format!(
        "snapshot_entries: {}\ndata_folder: data-{index}\nlisteners:\n  operators: {}\n  peers: {}\n",
        cfg.snapshot_entries, own.operators, own.peers
    ));
    text
}

/// Returns the settings of the entry `index`.
pub(super) fn entry(
    cfg: &ClusterConfig,
    voters: &[SocketAddr],
    own: EntryAddresses,
    peers: SocketAddr,
    index: usize,
) -> String {
    let mut text = common(cfg, voters, "entry", &format!("entry-{index}"), index);
    text.push_str(&format!(
        "listeners:\n  callers: {}\n  upstreams: {}\n  operators: {}\n  peers: {peers}\n",
        own.callers, own.upstreams, own.operators
    ));
    text
}

/// Returns the settings that control processes and entries share.
fn common(
    cfg: &ClusterConfig,
    voters: &[SocketAddr],
    program: &str,
    name: &str,
    index: usize,
) -> String {
    let mut text = format!(
        "program: {program}\ncluster: derwent-hull\nkey_file: cluster.key\nname: {name}\n\
         zone: {}\nregions:\n  tas-south: [hobart-a, kingston-b]\n  tas-north: [launceston-a]\n\
         tokens:\n  operators: operators.token\ntiming:\n  lease: {}\nvoters:\n",
        ZONES[index % ZONES.len()].1,
        cfg.lease,
    );
    for (i, peers) in voters.iter().enumerate() {
        let zone = ZONES[i % ZONES.len()].1;
        let spare = i >= cfg.controls;
        text.push_str(&format!(
            "  - {{ name: control-{i}, peers: \"{peers}\", zone: {zone}, spare: {spare} }}\n"
        ));
    }
    text.push_str(&cfg.extra);
    text
}
