use std::net::SocketAddr;
use std::path;
use std::time::Duration;

use comfreymill_jobs::scheduler;
use comfreymill_types::id;
use comfreymill_types::time;
use comfreymill_types::yaml;

use super::NodeSettings;
use super::PackingSettings;
use super::settings_file;
use crate::scheduler::turns;

/// Five voters tolerate the loss of two at once.
const VOTERS: usize = 5;
/// A log of this many entries is read in well under a second.
const SNAPSHOT_ENTRIES: u64 = 4_000;

/// Work on the machines of a zone seldom begins sooner.
const EVACUATION_PATIENCE: Duration = Duration::from_secs(60);
/// Common limit of descriptors of a process.
const DESCRIPTORS: usize = 4_096;
/// Number of descriptors below which a scheduler can't serve its listeners and its members.
const MIN_DESCRIPTORS: usize = 64;

/// Settings of a scheduler process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SchedulerSettings {
    node: NodeSettings,
    control: SocketAddr,
    data_folder: path::PathBuf,
    is_founding: bool,
    lease: Duration,
    max_lease: Duration,
    voters: usize,
    descriptors: usize,
    snapshot_entries: u64,
    overload: Option<turns::Bounds>,
    zones: Vec<id::ZoneName>,
    packing: Option<PackingSettings>,
    evacuation_patience: Duration,
    remote_factor: Option<scheduler::RemoteFactor>,
}

impl SchedulerSettings {
    /// Settings that gateways and schedulers have in common.
    pub fn get_node(&self) -> &NodeSettings {
        &self.node
    }

    /// Address of the listener for workers and operators.
    pub fn get_control(&self) -> SocketAddr {
        self.control
    }

    /// Folder in which the state is stored.
    pub fn get_data_folder(&self) -> &path::Path {
        &self.data_folder
    }

    /// Whether the process may found a group when its data folder is empty.
    pub fn is_founding(&self) -> bool {
        self.is_founding
    }

    /// Duration of a worker's lease.
    pub fn get_lease(&self) -> Duration {
        self.lease
    }

    /// Longest lease that workers grant.
    pub fn get_max_lease(&self) -> Duration {
        self.max_lease
    }

    /// Number of voters that the group should have.
    pub fn get_voters(&self) -> usize {
        self.voters
    }

    /// Number of descriptors that the process may use.
    pub fn get_descriptors(&self) -> usize {
        self.descriptors
    }

    /// When long-running tasks are packed; without it, they never are.
    pub fn get_packing(&self) -> Option<PackingSettings> {
        self.packing
    }

    /// Number of log entries between two snapshots.
    pub fn get_snapshot_entries(&self) -> u64 {
        self.snapshot_entries
    }

    /// Waits beyond which a leader puts work off or refuses it; `None` if it never does.
    pub fn get_overload(&self) -> Option<turns::Bounds> {
        self.overload
    }

    /// Availability zones that operators may evacuate, beside those of known workers.
    pub fn get_zones(&self) -> &[id::ZoneName] {
        &self.zones
    }

    /// Time for which tasks of an evacuated zone move only while there is room to spare.
    pub fn get_evacuation_patience(&self) -> Duration {
        self.evacuation_patience
    }

    /// Factor by which tasks take longer away from their data, or on more than one rack; without it,
    /// tasks do not wait for racks.
    pub fn get_remote_factor(&self) -> Option<scheduler::RemoteFactor> {
        self.remote_factor
    }

    pub(super) fn node_mut(&mut self) -> &mut NodeSettings {
        &mut self.node
    }

    pub(super) fn read_section(section: &yaml::Section<'_>, folder: &path::Path) -> Option<Self> {
        settings_file::read_program(section, settings_file::SCHEDULER);
        let node = NodeSettings::read(section);
        let listeners = section.required_section("listeners");
        let control = listeners.required("control");
        listeners.finish();
        let locality = section.section("locality");
        let remote_factor = locality.as_ref().and_then(|locality| {
            let factor = locality.required("remote_factor");
            locality.finish();
            factor
        });
        let data_folder: Option<path::PathBuf> = section.required("data_folder");
        let is_founding = section.required("founding");
        let lease: Option<time::Span> = section.required("lease");
        let max_lease: Option<time::Span> = section.optional("max_lease");
        if max_lease.is_some_and(|longest| lease.is_some_and(|lease| longest < lease)) {
            section.problem("max_lease", "is shorter than lease");
        }
        let voters = section.optional("voters").unwrap_or(VOTERS);
        let snapshot_entries = section.optional("snapshot_entries").unwrap_or(SNAPSHOT_ENTRIES);
        let zones = section.optional("zones").map_or_else(Vec::new, |list: ZoneList| list.0);
        let patience: Option<time::Span> = section.optional("evacuation_patience");
        let descriptors = section.optional("descriptors").unwrap_or(DESCRIPTORS);
        if descriptors < MIN_DESCRIPTORS {
            section.problem("descriptors", "a scheduler needs at least 64 descriptors");
        }
        let overload = read_overload(section);
        if voters == 0 {
            section.problem("voters", "a group has at least 1 voter");
        }
        if snapshot_entries == 0 {
            section.problem("snapshot_entries", "a snapshot covers at least 1 entry");
        }
        let packing = PackingSettings::read(section);
        Some(Self {
            node: node?,
            control: control?,
            data_folder: folder.join(data_folder?),
            is_founding: is_founding?,
            lease: lease?.into(),
            max_lease: max_lease.or(lease)?.into(),
            voters,
            descriptors,
            snapshot_entries,
            overload,
            zones,
            packing,
            evacuation_patience: patience.map_or(EVACUATION_PATIENCE, Duration::from),
            remote_factor,
        })
    }
}

fn read_overload(section: &yaml::Section<'_>) -> Option<turns::Bounds> {
    let defer_after: Option<time::Span> = section.optional("defer_after");
    let refuse_after: Option<time::Span> = section.optional("refuse_after");
    match (defer_after, refuse_after) {
        (None, None) => None,
        (Some(defer_after), Some(refuse_after)) if defer_after < refuse_after => {
            let (defer_after, refuse_after) = (defer_after.into(), refuse_after.into());
            Some(turns::Bounds { defer_after, refuse_after })
        }
        (Some(_), Some(_)) => {
            section.problem("refuse_after", "work is put off before jobs are refused");
            None
        }
        (Some(_), None) => {
            section.problem("refuse_after", "is needed where defer_after is set");
            None
        }
        (None, Some(_)) => {
            section.problem("defer_after", "is needed where refuse_after is set");
            None
        }
    }
}

/// Names of availability zones, separated by commas.
struct ZoneList(Vec<id::ZoneName>);

impl std::str::FromStr for ZoneList {
    type Err = id::ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}
