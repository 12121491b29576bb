use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use super::addresses;

/// Machine whose settings file is filled in.
#[derive(Clone, Debug)]
pub(super) struct Machine {
    pub(super) name: String,
    pub(super) zone: &'static str,
    pub(super) address: Ipv4Addr,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) data_folder: String,
    pub(super) is_founding: bool,
}

/// Fills in the template of a role with the figures of a small deployment.
pub(super) fn fill(template: &str, machine: &Machine) -> io::Result<String> {
    let text = fs::read_to_string(template)?;
    let ip = machine.address.to_string();
    let seeds: Vec<String> = machine.seeds.iter().map(ToString::to_string).collect();
    let region = if machine.zone == "launceston-a" { "tas-north" } else { "tas-south" };
    let values = [
        ("{{#zones}}{{@}}{{,}}{{/zones}}", "hobart-a,launceston-a,kingston-b".to_owned()),
        ("{{#bounds.remote_factor}}\n", String::new()),
        ("{{/bounds.remote_factor}}\n", String::new()),
        ("{{bounds.remote_factor}}", "3".to_owned()),
        ("{{internal_ports.0}}", addresses::PEERS_PORT.to_string()),
        ("{{limits.max_fds}}", "4096".to_owned()),
        ("{{listen.front}}", format!("{ip}:{}", addresses::CALLERS_PORT)),
        ("{{listen.ready}}", format!("{ip}:{}", addresses::READY_PORT)),
        ("{{listen.control}}", format!("{ip}:{}", addresses::CONTROL_PORT)),
        ("{{node_name}}", machine.name.clone()),
        ("{{zone}}", machine.zone.to_owned()),
        ("{{region}}", region.to_owned()),
        ("{{ip}}", ip),
        ("{{seeds}}", seeds.join(",")),
        ("{{data_dir}}", machine.data_folder.clone()),
        ("{{bootstrap}}", machine.is_founding.to_string()),
    ];
    let filled = values.iter().fold(text, |text, (from, to)| text.replace(from, to));
    if filled.contains("{{") {
        let reason = format!("{template} has a placeholder that this stand-in does not know");
        return Err(io::Error::other(reason));
    }
    Ok(filled)
}
