use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::server;
use comfreymill_route::router;
use comfreymill_types::error;

use super::dispatch;
use super::heartbeat;
use super::link;
use super::listeners::Listeners;
use super::operators;
use super::pool;
use super::prompt;
use super::upstreams;
use crate::clock;
use crate::metering;
use crate::peer;
use crate::runtime;
use crate::settings;
use crate::web;

/// Time without a frame from the leader after which its connection is closed.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);
/// Timeout for returning the grants to the leader before the process ends.
const GRANT_RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between reporting not ready and closing the callers' listener.
const NOT_READY_PERIOD: Duration = Duration::from_secs(2);

/// Runs an entry process until it is told to stop.
///
/// # Errors
///
/// The runtime cannot be started, a setting is invalid, or a listener cannot be bound.
pub fn run(
    settings: &settings::EntrySettings,
    stop: &flume::Receiver<runtime::Stop>,
) -> Result<(), error::Error> {
    let result = runtime::block_on(serve(settings, stop));
    result.map_err(|e| error::Error::new(error::ErrorKind::Internal, e.to_string()))?
}

async fn serve(
    settings: &settings::EntrySettings,
    stop: &flume::Receiver<runtime::Stop>,
) -> Result<(), error::Error> {
    let clock = clock::Clock::start();
    let listeners = Listeners::open(settings)?;
    let pool = Rc::new(pool::Pool::default());
    let (dispatcher, heartbeats_due) =
        dispatch::start(dispatch_config(settings)?, clock, pool.clone());
    let (push_tx, push_rx) = flume::unbounded();
    let link = link::start(link_config(settings, clock)?, push_tx);
    monoio::spawn(forward_pushes(push_rx, dispatcher.clone()));
    let heartbeats =
        heartbeat::run(clock, dispatcher.clone(), link.clone(), heartbeats_due, HEARTBEAT_PERIOD);
    monoio::spawn(heartbeats);

    let (drain_tx, drain_rx) = flume::unbounded();
    let callers_shutdown = server::Shutdown::new();
    let callers = listeners.serve(
        prompt_context(settings, clock, &dispatcher, &link, pool)?,
        upstreams_context(settings, &link)?,
        operators_context(settings, &dispatcher, &link, drain_tx)?,
        callers_shutdown.clone(),
    );

    log::info!(target: "entry", "Entry {} serves callers on {}.", settings.get_name(), settings.get_callers());
    if !wait_for_stop(stop, &drain_rx).await {
        return Ok(());
    }
    let drain_timeout = settings.get_common().get_timing().get_drain().get_duration();
    monoio::select! {
        () = drain_callers(&dispatcher, &link, &callers_shutdown, callers, drain_timeout) => {}
        _ = stop.recv_async() => {
            let open = dispatcher.status().await.map_or(0, |status| status.open_requests);
            log::warn!(target: "entry", "Stopping immediately with {open} requests in progress.");
        }
    }
    Ok(())
}

/// Waits until the process is told to stop, and returns whether to stop gracefully.
async fn wait_for_stop(
    stop: &flume::Receiver<runtime::Stop>,
    drain_rx: &flume::Receiver<()>,
) -> bool {
    monoio::select! {
        signal = stop.recv_async() => signal == Ok(runtime::Stop::Graceful),
        _ = drain_rx.recv_async() => true,
    }
}

fn prompt_context(
    settings: &settings::EntrySettings,
    clock: clock::Clock,
    dispatcher: &dispatch::Dispatcher,
    link: &link::Link,
    pool: Rc<pool::Pool>,
) -> Result<prompt::Context, error::Error> {
    let common = settings.get_common();
    let regions = common.get_network().get_regions();
    let region = regions.get_region(common.get_zone()).cloned();
    let max_body_bytes = common.get_limits().get_body().get();
    let token = settings.get_callers_token_file().map(web::Token::read).transpose()?;
    let (dispatcher, link) = (dispatcher.clone(), link.clone());
    let cx = prompt::Context::new(clock, dispatcher, link, pool, max_body_bytes);
    Ok(cx.region(region).token(token))
}

fn upstreams_context(
    settings: &settings::EntrySettings,
    link: &link::Link,
) -> Result<upstreams::Context, error::Error> {
    let token = settings.get_upstreams_token_file().map(web::Token::read).transpose()?;
    Ok(upstreams::Context { link: link.clone(), token })
}

fn operators_context(
    settings: &settings::EntrySettings,
    dispatcher: &dispatch::Dispatcher,
    link: &link::Link,
    drain: flume::Sender<()>,
) -> Result<operators::Context, error::Error> {
    let token = web::Token::read(settings.get_common().get_operators_token_file())?;
    Ok(operators::Context {
        link: link.clone(),
        dispatcher: dispatcher.clone(),
        token: Some(token),
        meter: metering::Meter::install()?,
        drain,
    })
}

/// Stops gracefully: reports not ready, closes the listener, then finishes requests in progress.
async fn drain_callers(
    dispatcher: &dispatch::Dispatcher,
    link: &link::Link,
    shutdown: &server::Shutdown,
    callers: monoio::task::JoinHandle<server::DrainReport>,
    drain_timeout: Duration,
) {
    log::info!(target: "entry", "Entry is stopping gracefully.");
    dispatcher.mark_not_ready();
    // Gives the load balancer time to notice; requests that still arrive are served.
    monoio::time::sleep(NOT_READY_PERIOD).await;
    shutdown.begin(drain_timeout);
    let drained = callers.await;
    dispatcher.drain();
    if drained.requests > 0 {
        log::warn!(target: "entry", "{} requests were aborted when the drain period ended.", drained.requests);
    }
    monoio::time::timeout(GRANT_RELEASE_TIMEOUT, release_grants(dispatcher, link)).await.ok();
}

/// Waits until no request can still be running, then returns the grants to the leader.
async fn release_grants(dispatcher: &dispatch::Dispatcher, link: &link::Link) {
    while let Some(heartbeat) = dispatcher.heartbeat().await {
        if heartbeat.is_over {
            let call = crate::protocol::Call::Heartbeat(heartbeat);
            if link.call(call, GRANT_RELEASE_TIMEOUT).await.is_ok() {
                return;
            }
        }
        monoio::time::sleep(HEARTBEAT_PERIOD).await;
    }
}

async fn forward_pushes(
    push_rx: flume::Receiver<crate::protocol::Push>,
    dispatcher: dispatch::Dispatcher,
) {
    while let Ok(push) = push_rx.recv_async().await {
        dispatcher.apply_push(push);
    }
}

fn dispatch_config(
    settings: &settings::EntrySettings,
) -> Result<dispatch::DispatchConfig, error::Error> {
    let common = settings.get_common();
    let zone = common.get_zone().clone();
    let region = common.get_network().get_regions().get_region(&zone).cloned();
    let region = region.ok_or_else(|| {
        let message = format!("zone {zone} does not belong to any region");
        error::Error::new(error::ErrorKind::InvalidSettings, message).field("zone")
    })?;
    let router = router::Config::new(region, zone)
        .policy(settings.get_routing())
        .queue_limit(common.get_limits().get_queue() as usize)
        .seed(rand::random());
    Ok(dispatch::DispatchConfig { router })
}

fn link_config(
    settings: &settings::EntrySettings,
    clock: clock::Clock,
) -> Result<link::LinkConfig, error::Error> {
    let common = settings.get_common();
    let network = common.get_network();
    let key = peer::ClusterKey::read(common.get_key_file())
        .map_err(|e| error::Error::new(e.get_kind(), e.to_string()).field("key_file"))?;
    let region = network.get_regions().get_region(common.get_zone());
    let hello = peer::Hello {
        version: peer::Hello::VERSION,
        cluster: common.get_cluster().to_string(),
        name: settings.get_name().to_string(),
        role: peer::Role::Entry.into(),
        incarnation: runtime::incarnation().get(),
        region: region.map(ToString::to_string).unwrap_or_default(),
        zone: common.get_zone().to_string(),
        replica: 0,
        nonce: Bytes::new(),
    };
    let voters = network.get_voters().iter();
    Ok(link::LinkConfig {
        voters: voters.map(|voter| (voter.name.clone(), voter.peers)).collect(),
        identity: peer::Identity { hello, key },
        silence_limit: SILENCE_LIMIT,
        clock,
    })
}
