use std::net;
use std::path;

use comfreymill_route::router;
use comfreymill_types::document;
use comfreymill_types::id;
use comfreymill_types::yaml;

use super::CommonSettings;
use super::common_settings;
use super::settings_file;

/// Settings of an entry process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    common: CommonSettings,
    name: id::EntryName,
    callers: net::SocketAddr,
    upstreams: net::SocketAddr,
    callers_token_file: Option<path::PathBuf>,
    upstreams_token_file: Option<path::PathBuf>,
    routing: router::Policy,
}

impl EntrySettings {
    /// Creates the settings of the entry `name` with its listeners for callers and upstreams.
    pub fn new(
        common: CommonSettings,
        name: id::EntryName,
        callers: net::SocketAddr,
        upstreams: net::SocketAddr,
    ) -> Self {
        Self {
            common,
            name,
            callers,
            upstreams,
            callers_token_file: None,
            upstreams_token_file: None,
            routing: router::Policy::default(),
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
    pub fn get_name(&self) -> &id::EntryName {
        &self.name
    }

    /// Address of the listener for callers.
    pub fn get_callers(&self) -> net::SocketAddr {
        self.callers
    }

    /// Address of the listener for upstreams.
    pub fn get_upstreams(&self) -> net::SocketAddr {
        self.upstreams
    }

    /// File with the token that callers must present, if one is required.
    pub fn get_callers_token_file(&self) -> Option<&path::Path> {
        self.callers_token_file.as_deref()
    }

    /// File with the token that upstreams must present, if one is required.
    pub fn get_upstreams_token_file(&self) -> Option<&path::Path> {
        self.upstreams_token_file.as_deref()
    }

    /// Policy that chooses the executor of a request.
    pub fn get_routing(&self) -> router::Policy {
        self.routing
    }

    /// Requires callers to present the token in this file.
    #[must_use]
    pub fn callers_token_file(mut self, file: path::PathBuf) -> Self {
        self.callers_token_file = Some(file);
        self
    }

    /// Requires upstreams to present the token in this file.
    #[must_use]
    pub fn upstreams_token_file(mut self, file: path::PathBuf) -> Self {
        self.upstreams_token_file = Some(file);
        self
    }

    /// Sets the policy that chooses the executor of a request.
    #[must_use]
    pub fn routing(mut self, routing: router::Policy) -> Self {
        self.routing = routing;
        self
    }

    fn read_section(section: &yaml::Section<'_>, folder: &path::Path) -> Option<Self> {
        settings_file::read_program(section, settings_file::ENTRY);
        let listeners = section.required_section("listeners");
        let tokens = section.required_section("tokens");
        let common = CommonSettings::read(section, &listeners, &tokens, folder);
        let name = section.required("name");
        let callers = listeners.required("callers");
        let upstreams = listeners.required("upstreams");
        let callers_token_file: Option<path::PathBuf> = tokens.optional("callers");
        let upstreams_token_file: Option<path::PathBuf> = tokens.optional("upstreams");
        let routing = section.optional("routing").unwrap_or_default();
        listeners.finish();
        tokens.finish();
        let settings = Self {
            common: common?,
            name: name?,
            callers: callers?,
            upstreams: upstreams?,
            callers_token_file: callers_token_file.map(|file| folder.join(file)),
            upstreams_token_file: upstreams_token_file.map(|file| folder.join(file)),
            routing,
        };
        common_settings::check_duplicate_addresses(&listeners, &settings.get_listeners());
        Some(settings)
    }

    fn get_listeners(&self) -> [(&'static str, net::SocketAddr); 4] {
        let network = self.common.get_network();
        [
            ("callers", self.callers),
            ("upstreams", self.upstreams),
            ("operators", network.get_operators()),
            ("peers", network.get_peers()),
        ]
    }
}
