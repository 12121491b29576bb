use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use comfreymill_http::limits;
use comfreymill_http::server;
use comfreymill_types::error;

use super::callers;
use super::ready::{self, Readiness};
use crate::jobcall;
use crate::metering;
use crate::peer;
use crate::runtime;
use crate::seeds;
use crate::settings;
use crate::web;

/// Time for the load balancer to notice that the process is no longer ready: two probes at an
/// interval of one second.
const READINESS_DELAY: Duration = Duration::from_millis(2_300);
/// Time for requests in progress to finish after that.
const GRACE_PERIOD: Duration = Duration::from_millis(2_800);
/// Time after which idle connections are closed, longer than the pauses between callers' requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs a gateway process until it is told to stop.
///
/// # Errors
///
/// The process cannot start.
pub fn run(
    settings: &settings::GatewaySettings,
    stop: &flume::Receiver<runtime::Stop>,
) -> Result<(), error::Error> {
    let ended = runtime::block_on(serve(settings, stop));
    ended.map_err(|e| error::Error::new(error::ErrorKind::Internal, e.to_string()))?
}

async fn serve(
    settings: &settings::GatewaySettings,
    stop: &flume::Receiver<runtime::Stop>,
) -> Result<(), error::Error> {
    let callers = runtime::listen("listeners.callers", settings.get_callers())?;
    let probes = runtime::listen("listeners.ready", settings.get_ready())?;
    let node = settings.get_node();
    let leader = jobcall::Client::start(node.link(peer::Role::Entry));
    if let Some(file) = node.get_file() {
        monoio::spawn(seeds::follow(file.to_owned(), leader.clone()));
    }
    let is_draining = Rc::new(Cell::new(false));
    log::info!(target: "process", name = node.get_name(), callers:% = settings.get_callers(); "the gateway starts");

    let readiness = Readiness { leader: leader.clone(), is_draining: Rc::clone(&is_draining) };
    let probe = async move |req: server::Request<'_>| ready::serve(&readiness, req).await;
    let limits = limits::Limits::new().idle_timeout(IDLE_TIMEOUT);
    monoio::spawn(server::serve(probes, limits.clone(), probe, server::Shutdown::new()));

    if let Some(address) = node.get_metrics() {
        let listener = runtime::listen("metrics", address)?;
        let (meter, status_leader) = (metering::Meter::install()?, leader.clone());
        let observer = async move |req: server::Request<'_>| {
            let status = async || ready::status(&status_leader);
            web::answer_observer(req, &meter, status).await
        };
        let limits = limits::Limits::new();
        monoio::spawn(server::serve(listener, limits, observer, server::Shutdown::new()));
    }

    let handler = async move |req: server::Request<'_>| callers::serve(&leader, req).await;
    let shutdown = server::Shutdown::new();
    let served = monoio::spawn(server::serve(callers, limits, handler, shutdown.clone()));
    if stop.recv_async().await != Ok(runtime::Stop::Graceful) {
        return Ok(());
    }
    log::info!(target: "process", "the gateway is stopping");
    is_draining.set(true);
    monoio::time::sleep(READINESS_DELAY).await;
    shutdown.begin(GRACE_PERIOD);
    let unfinished = served.await;
    log::info!(target: "process", requests = unfinished.requests, connections = unfinished.connections; "the gateway has stopped");
    Ok(())
}
