use std::net::SocketAddr;
use std::path;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_group::id as group_id;
use comfreymill_group::replica;
use comfreymill_group::store;
use comfreymill_http::limits;
use comfreymill_http::server;
use comfreymill_jobs::scheduler;
use comfreymill_types::error;

use super::control;
use super::core::{self, Core, Input};
use super::descriptor_budget::DescriptorBudget;
use super::links::Links;
use super::member_id;
use crate::clock;
use crate::jobcall;
use crate::metering;
use crate::peer;
use crate::runtime;
use crate::seeds;
use crate::settings;
use crate::web;

/// Time for a successor to take over the leadership before the process ends.
const HANDOVER_TIME: Duration = Duration::from_millis(400);
/// Minimum election time-out; a quorum may span two regions that are 20 ms apart, with disk syncs
/// of 6 ms.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between the leader's heartbeats to its followers.
const GROUP_HEARTBEAT: Duration = Duration::from_millis(100);
/// Upper bound on the difference between the rates of members' clocks, in parts per million.
const CLOCK_DRIFT_PPM: u32 = 20_000;
/// Path under which observers ask for the reason of a job's state.
const EXPLAIN_PATH: &str = "/v1/explain/";
/// Id of the group that the schedulers form.
const GROUP: u64 = 1;

/// Runs a scheduler process until it is told to stop.
///
/// # Errors
///
/// The process cannot start, or its data folder fails.
pub fn run(
    settings: &settings::SchedulerSettings,
    stop: &flume::Receiver<runtime::Stop>,
) -> Result<(), error::Error> {
    let ended = runtime::block_on(serve(settings, stop));
    ended.map_err(|e| error::Error::new(error::ErrorKind::Internal, e.to_string()))?
}

async fn serve(
    settings: &settings::SchedulerSettings,
    stop: &flume::Receiver<runtime::Stop>,
) -> Result<(), error::Error> {
    let clock = clock::Clock::start();
    let node = settings.get_node();
    let peers_address = SocketAddr::from((node.get_address(), node.get_peers_port()));
    let peers = runtime::listen("listeners.peers", peers_address)?;
    let listener = runtime::listen("listeners.control", settings.get_control())?;
    let (inputs, rx) = flume::unbounded();
    let (replica, thread) = open(settings, settings.is_founding(), clock, &inputs)?;
    let identity = node.identity(peer::Role::Control, replica.voter().get());
    let links = Links::new(identity.clone(), node.get_peers_port());
    log::info!(target: "process", name = node.get_name(), member = replica.voter().get(), peers:% = peers_address, control:% = settings.get_control(); "the scheduler starts");
    let leader = jobcall::Client::start(node.link(peer::Role::Entry));
    if let Some(file) = node.get_file() {
        monoio::spawn(seeds::follow(file.to_owned(), leader.clone()));
    }
    let budget = DescriptorBudget::new(settings.get_descriptors());
    let cfg = core::CoreConfig {
        leader: leader.clone(),
        clock,
        address: node.get_address(),
        control: settings.get_control(),
        decisions: decisions_config(settings),
        voters: settings.get_voters(),
        zones: settings.get_zones().to_vec(),
        snapshot_entries: settings.get_snapshot_entries(),
        bounds: settings.get_overload(),
    };
    let observers = node.get_metrics().map(|address| {
        Ok::<_, error::Error>((runtime::listen("metrics", address)?, metering::Meter::install()?))
    });
    let observers = observers.transpose()?;
    // The core creates its metrics, so the recorder is installed before.
    let process = core::ProcessState::new(budget.workers);
    let core = Core::new(cfg.clone(), replica, thread, links, process, inputs.clone());
    monoio::spawn(peer::listen(peers, identity, inputs.clone()));
    let cx = control::Context { inputs: inputs.clone(), leader };
    let handler = async move |req: server::Request<'_>| control::serve(&cx, req).await;
    if let Some((observers, meter)) = observers {
        let status_inputs = inputs.clone();
        let observer = async move |req: server::Request<'_>| {
            if let Some(key) = req.uri().path().strip_prefix(EXPLAIN_PATH) {
                let explained = fetch_explanation(&status_inputs, key.to_owned()).await;
                return match explained {
                    Ok(body) => web::answer_json(req, body).await,
                    Err(error) => web::answer_error(req, &error).await,
                };
            }
            web::answer_observer(req, &meter, async || fetch_status(&status_inputs).await).await
        };
        let limits = limits::Limits::new();
        monoio::spawn(server::serve(observers, limits, observer, server::Shutdown::new()));
    }
    let shutdown = server::Shutdown::new();
    let limits =
        limits::Limits::new().max_connections(budget.listener).max_refusals(budget.refusals);
    let served = server::serve(listener, limits, handler, shutdown.clone());
    monoio::spawn(served);
    monoio::select! {
        failure = run_core(core, &rx, settings, &cfg, &inputs) => {
            log::error!(target: "process", reason = failure.as_str(); "the scheduler has failed");
            Err(error::Error::new(error::ErrorKind::Storage, failure))
        }
        () = wait_for_stop(stop, &inputs, &shutdown) => Ok(()),
    }
}

/// Runs the core until it fails and returns the reason. A replica that the group has removed
/// rejoins with an empty data folder; the connections of the process stay open.
async fn run_core(
    mut core: Core,
    rx: &flume::Receiver<Input>,
    settings: &settings::SchedulerSettings,
    cfg: &core::CoreConfig,
    inputs: &flume::Sender<Input>,
) -> String {
    loop {
        let process = match core::run(core, rx).await {
            core::Ended::Failed(failure) => return failure,
            core::Ended::Removed(process) => *process,
        };
        log::warn!(target: "process", "the group has removed this member, which rejoins with an empty data folder");
        let cleared = clear(settings.get_data_folder());
        let opened = cleared.and_then(|()| open(settings, false, cfg.clock, inputs));
        let (replica, thread) = match opened {
            Ok(opened) => opened,
            Err(error) => return error.to_string(),
        };
        let node = settings.get_node();
        let identity = node.identity(peer::Role::Control, replica.voter().get());
        let links = Links::new(identity, node.get_peers_port());
        core = Core::new(cfg.clone(), replica, thread, links, process, inputs.clone());
    }
}

/// Clears the data folder of a replica that the group has removed.
fn clear(folder: &path::Path) -> Result<(), error::Error> {
    let storage = |source: String| {
        let message = format!("data folder {}: {source}", folder.display());
        error::Error::new(error::ErrorKind::Storage, message)
    };
    let disk = store::FolderDisk::open(folder).map_err(|error| storage(error.to_string()))?;
    store::Store::retire(disk).map_err(|error| storage(error.to_string()))
}

/// Returns the status of the core as JSON text; empty if the core has ended.
async fn fetch_status(inputs: &flume::Sender<Input>) -> Bytes {
    let (reply, rx) = flume::bounded(1);
    inputs.send(Input::Status(reply)).ok();
    rx.recv_async().await.unwrap_or_default()
}

/// Returns why a job is in its state, as JSON text.
async fn fetch_explanation(
    inputs: &flume::Sender<Input>,
    key: String,
) -> Result<Bytes, error::Error> {
    let (reply, rx) = flume::bounded(1);
    inputs.send(Input::Explain { key, reply }).ok();
    rx.recv_async().await.unwrap_or_else(|_| {
        Err(error::Error::new(error::ErrorKind::Draining, "the scheduler is stopping"))
    })
}

/// Waits for the request to stop; a graceful stop hands over the leadership first.
async fn wait_for_stop(
    stop: &flume::Receiver<runtime::Stop>,
    inputs: &flume::Sender<Input>,
    shutdown: &server::Shutdown,
) {
    if stop.recv_async().await == Ok(runtime::Stop::Graceful) {
        log::info!(target: "process", "the scheduler is stopping");
        let (done, rx) = flume::bounded(1);
        inputs.send(Input::Drain(done)).ok();
        rx.recv_async().await.ok();
        shutdown.begin(HANDOVER_TIME);
        monoio::time::sleep(HANDOVER_TIME).await;
    }
    log::info!(target: "process", "the scheduler has stopped");
}

/// Opens the replica in the data folder. With an empty folder it joins the group, or founds it if
/// `is_founding` is set and this process is one of the seeds.
fn open(
    settings: &settings::SchedulerSettings,
    is_founding: bool,
    clock: clock::Clock,
    inputs: &flume::Sender<Input>,
) -> Result<(replica::Replica, store::Thread), error::Error> {
    let storage = |text: String| error::Error::new(error::ErrorKind::Storage, text);
    let folder = settings.get_data_folder();
    let disk = store::FolderDisk::open(folder)
        .map_err(|source| storage(format!("data folder {}: {source}", folder.display())))?;
    let node = settings.get_node();
    let founders: Vec<group_id::VoterId> =
        node.get_seeds().iter().map(|seed| member_id::founder(*seed)).collect();
    let founder_id = member_id::founder(node.get_address());
    let founds_group = is_founding && founders.contains(&founder_id);
    let member = if founds_group { founder_id } else { member_id::newcomer(node.get_address()) };
    let options = store::Options::new(group_id::GroupId::new(GROUP), member).accept_stored_voter();
    // A new replica announces itself before its files are synced: with a slow disk, nobody else knows
    // until then that the former data is lost.
    let (prepared, recovered) =
        store::Store::prepare(disk, options).map_err(|error| storage(error.to_string()))?;
    let completions = inputs.clone();
    let member = prepared.identity().voter;
    // A founder that was stopped before the group was founded goes on with it: the others wait for it.
    let founds_group = founders.contains(&member);
    let on_completion = move |completion| {
        completions.send(Input::Store { member, completion }).ok();
    };
    let thread = store::Thread::spawn(prepared, on_completion)
        .map_err(|e| storage(format!("cannot start the store thread: {e}")))?;
    let start = if founds_group {
        replica::Start::Found { voters: founders }
    } else {
        replica::Start::Join { peers: founders }
    };
    let cfg = replica::Config::new(start)
        .election_timeout(ELECTION_TIMEOUT, ELECTION_TIMEOUT * 2)
        .heartbeat(GROUP_HEARTBEAT)
        .clock_drift_ppm(CLOCK_DRIFT_PPM)
        .member_names(member_id::name);
    let replica = replica::Replica::new(cfg, recovered, rand::random(), clock.now());
    Ok((replica, thread))
}

/// Returns the parameters of the leader's decisions.
fn decisions_config(settings: &settings::SchedulerSettings) -> scheduler::Config {
    let packing = settings.get_packing().map(|packing| packing.get_config());
    scheduler::Config::new(settings.get_lease())
        .max_lease(settings.get_max_lease())
        .packing(packing)
        .evacuation_patience(settings.get_evacuation_patience())
        .remote_factor(settings.get_remote_factor())
}
