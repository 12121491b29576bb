use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_group::id as group_id;
use comfreymill_group::replica;
use comfreymill_group::store;
use comfreymill_http::server;
use comfreymill_types::error;
use comfreymill_types::id;

use super::core::{self, Core, Input};
use super::operators;
use super::voters::{self, Voters};
use crate::clock;
use crate::metering;
use crate::peer;
use crate::runtime;
use crate::settings;
use crate::web;

/// Wait after the start of a leadership transfer before the process exits.
const HANDOVER_WAIT: Duration = Duration::from_millis(500);

/// Why a control process ended.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The process could not start.
    #[error("{0}")]
    Start(#[from] error::Error),
    /// The store in the data folder failed to open.
    #[error("data folder: {0}")]
    Store(#[from] store::StoreError),
    /// The data folder cannot be opened.
    #[error("data folder {folder}: {source}")]
    Folder {
        /// Path of the data folder from the settings.
        folder: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The runtime, the store's thread or the core failed.
    #[error("{0}")]
    Failed(String),
}

impl ControlError {
    /// Returns the error kind that is reported to clients and operators.
    pub fn get_kind(&self) -> error::ErrorKind {
        match self {
            Self::Start(error) => error.get_kind(),
            Self::Store(_) | Self::Folder { .. } | Self::Failed(_) => error::ErrorKind::Storage,
        }
    }
}

impl From<ControlError> for error::Error {
    fn from(error: ControlError) -> Self {
        Self::new(error.get_kind(), error.to_string())
    }
}

/// Runs a control process until it is told to stop.
///
/// # Errors
///
/// Returns an error if the process cannot start or fails at run time, such as when the data folder
/// cannot be written.
pub fn run(
    settings: &settings::ControlSettings,
    stop: &flume::Receiver<runtime::Stop>,
) -> Result<(), ControlError> {
    let result = runtime::block_on(serve(settings, stop));
    result.map_err(|e| ControlError::Failed(format!("the runtime cannot start: {e}")))?
}

async fn serve(
    settings: &settings::ControlSettings,
    stop: &flume::Receiver<runtime::Stop>,
) -> Result<(), ControlError> {
    let clock = clock::Clock::start();
    let common = settings.get_common();
    let network = common.get_network();
    let token = web::Token::read(common.get_operators_token_file())?;
    let peers = runtime::listen("listeners.peers", network.get_peers())?;
    let operators = runtime::listen("listeners.operators", network.get_operators())?;
    let identity = identity(settings)?;
    let (tx, inputs) = flume::unbounded();
    let core = open_core(settings, clock, &identity, &tx)?;
    monoio::spawn(peer::listen(peers, identity, tx.clone()));
    let limits = runtime::http_limits(common.get_limits());
    let meter = metering::Meter::install()?;
    let cx = operators::Context { inputs: tx.clone(), token: Some(token), meter };
    let handler = async move |req: server::Request<'_>| operators::serve(&cx, req).await;
    monoio::spawn(server::serve(operators, limits, handler, server::Shutdown::new()));
    log::info!(
        target: "control",
        "Voter {} listens for peers on {}.",
        settings.get_name(),
        network.get_peers()
    );
    monoio::select! {
        failure = core::run(core, inputs, clock) => Err(ControlError::Failed(failure)),
        () = wait_for_stop(stop, &tx) => Ok(()),
    }
}

/// Waits until the process is told to stop; on a graceful stop, transfers leadership first.
async fn wait_for_stop(stop: &flume::Receiver<runtime::Stop>, inputs: &flume::Sender<Input>) {
    if stop.recv_async().await == Ok(runtime::Stop::Graceful) {
        log::info!(target: "control", "The process is stopping.");
        let (done, rx) = flume::bounded(1);
        inputs.send(Input::Drain(done)).ok();
        rx.recv_async().await.ok();
        monoio::time::sleep(HANDOVER_WAIT).await;
    }
}

fn open_core(
    settings: &settings::ControlSettings,
    clock: clock::Clock,
    identity: &peer::Identity,
    inputs: &flume::Sender<Input>,
) -> Result<Core, ControlError> {
    let common = settings.get_common();
    let folder = settings.get_data_folder();
    let disk = store::FolderDisk::open(folder)
        .map_err(|source| ControlError::Folder { folder: folder.display().to_string(), source })?;
    let group = voters::hash_name(common.get_cluster().as_str());
    let voter = voters::replica_id(settings.get_name());
    let options = store::Options::new(group_id::GroupId::new(group), voter);
    let (opened, recovered) = store::Store::open(disk, options)?;
    let completions = inputs.clone();
    let on_completion = move |completion| {
        completions.send(Input::Store(completion)).ok();
    };
    let thread = store::Thread::spawn(opened, on_completion);
    let thread = thread
        .map_err(|e| ControlError::Failed(format!("the store's thread cannot start: {e}")))?;
    let cfg = replica_config(settings);
    cfg.validate().map_err(|e| {
        error::Error::new(error::ErrorKind::InvalidSettings, e.to_string()).field("timing")
    })?;
    let seed = rand::random();
    let replica = replica::Replica::new(cfg, recovered, seed, clock.now());
    let voters = Voters::start(settings.get_name(), &voter_addresses(common), identity);
    Ok(Core::new(core::CoreConfig::from_settings(settings), replica, thread, voters))
}

fn replica_config(settings: &settings::ControlSettings) -> replica::Config {
    let common = settings.get_common();
    let timing = common.get_timing();
    let election = timing.get_election().get_duration();
    let voters = common.get_network().get_voters().iter().filter(|voter| !voter.spare);
    let voters = voters.map(|voter| voters::replica_id(&voter.name)).collect();
    let start = if settings.is_spare() {
        replica::Start::Join { peers: voters }
    } else {
        replica::Start::Found { voters }
    };
    replica::Config::new(start)
        .election_timeout(election, election * 2)
        .heartbeat(timing.get_heartbeat().into())
        .clock_drift_ppm(timing.get_clock_drift().as_ppm())
}

fn voter_addresses(common: &settings::CommonSettings) -> Vec<(id::VoterName, SocketAddr)> {
    let voters = common.get_network().get_voters().iter();
    voters.map(|voter| (voter.name.clone(), voter.peers)).collect()
}

fn identity(settings: &settings::ControlSettings) -> Result<peer::Identity, error::Error> {
    let common = settings.get_common();
    let key = peer::ClusterKey::read(common.get_key_file())
        .map_err(|e| error::Error::new(e.get_kind(), e.to_string()).field("key_file"))?;
    let region = common.get_network().get_regions().get_region(common.get_zone());
    let hello = peer::Hello {
        version: peer::Hello::VERSION,
        cluster: common.get_cluster().to_string(),
        name: settings.get_name().to_string(),
        role: peer::Role::Control.into(),
        incarnation: runtime::incarnation().get(),
        region: region.map(ToString::to_string).unwrap_or_default(),
        zone: common.get_zone().to_string(),
        replica: voters::replica_id(settings.get_name()).get(),
        nonce: Bytes::new(),
    };
    Ok(peer::Identity { hello, key })
}
