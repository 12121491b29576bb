use std::net;
use std::path;

use comfreymill_batch::config;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::yaml;

use super::CommonSettings;
use super::common_settings;
use super::settings_file;

const SNAPSHOT_ENTRIES: u64 = 20_000;

/// Settings of a control process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlSettings {
    common: CommonSettings,
    name: id::VoterName,
    data_folder: path::PathBuf,
    placement: config::Policy,
    snapshot_entries: u64,
}

impl ControlSettings {
    /// Creates the settings of the voter `name` that stores its state in `data_folder`.
    pub fn new(common: CommonSettings, name: id::VoterName, data_folder: path::PathBuf) -> Self {
        Self {
            common,
            name,
            data_folder,
            placement: config::Policy::default(),
            snapshot_entries: SNAPSHOT_ENTRIES,
        }
    }

    /// Parses the text of a settings file without checking the machine; paths in the file are
    /// relative to `folder`.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file.
    pub fn read(text: &[u8], folder: &path::Path) -> Result<Self, Vec<document::Problem>> {
        let node = yaml::Node::parse(text).map_err(|problem| vec![problem])?;
        Self::read_node(&node, folder)
    }

    pub(super) fn read_node(
        node: &yaml::Node,
        folder: &path::Path,
    ) -> Result<Self, Vec<document::Problem>> {
        settings_file::read(node, |section| Self::read_section(section, folder))
    }

    /// Settings that entry and control processes have in common.
    pub fn get_common(&self) -> &CommonSettings {
        &self.common
    }

    /// Name of the process.
    pub fn get_name(&self) -> &id::VoterName {
        &self.name
    }

    /// Folder in which the state is stored.
    pub fn get_data_folder(&self) -> &path::Path {
        &self.data_folder
    }

    /// Policy that places tasks on workers.
    pub fn get_placement(&self) -> config::Policy {
        self.placement
    }

    /// Whether the process, when its data folder is empty, waits to be added to a group instead of
    /// founding one.
    pub fn is_spare(&self) -> bool {
        let mut voters = self.common.get_network().get_voters().iter();
        voters.any(|voter| voter.name == self.name && voter.spare)
    }

    /// Number of log entries between two snapshots.
    pub fn get_snapshot_entries(&self) -> u64 {
        self.snapshot_entries
    }

    /// Sets the policy that places tasks on workers.
    #[must_use]
    pub fn placement(mut self, placement: config::Policy) -> Self {
        self.placement = placement;
        self
    }

    fn read_section(section: &yaml::Section<'_>, folder: &path::Path) -> Option<Self> {
        settings_file::read_program(section, settings_file::CONTROL);
        let listeners = section.required_section("listeners");
        let tokens = section.required_section("tokens");
        let common = CommonSettings::read(section, &listeners, &tokens, folder);
        let name = section.required("name");
        let data_folder: Option<path::PathBuf> = section.required("data_folder");
        let placement = section.optional("placement").unwrap_or_default();
        let snapshot_entries = section.optional("snapshot_entries").unwrap_or(SNAPSHOT_ENTRIES);
        if snapshot_entries == 0 {
            section.problem("snapshot_entries", "a snapshot covers at least 1 entry");
        }
        listeners.finish();
        tokens.finish();
        let settings = Self {
            common: common?,
            name: name?,
            data_folder: folder.join(data_folder?),
            placement,
            snapshot_entries,
        };
        common_settings::check_duplicate_addresses(&listeners, &settings.get_listeners());
        settings.check_voter(section, &listeners);
        Some(settings)
    }

    fn check_voter(&self, section: &yaml::Section<'_>, listeners: &yaml::Section<'_>) {
        let network = self.common.get_network();
        let Some(voter) = network.get_voters().iter().find(|voter| voter.name == self.name) else {
            section.problem("name", format!("`{}` is not among the voters", self.name));
            return;
        };
        if voter.peers != network.get_peers() {
            let message = format!("differs from `{}` in the list of voters", voter.peers);
            listeners.problem("peers", message);
        }
        if voter.zone != *self.common.get_zone() {
            section.problem("zone", format!("differs from `{}` in the list of voters", voter.zone));
        }
    }

    fn get_listeners(&self) -> [(&'static str, net::SocketAddr); 2] {
        let network = self.common.get_network();
        [("operators", network.get_operators()), ("peers", network.get_peers())]
    }
}
