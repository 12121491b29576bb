use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use super::life::{End, Life, Started};
use super::serve;
use crate::json::Value;
use crate::record::Record;
use crate::wire;

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_100);
/// Time for which an executor waits for an acknowledgement.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const ACCEPT_PERIOD: Duration = Duration::from_millis(2);

/// What an executor is.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) service: String,
    pub(crate) zone: String,
    /// Capacity in thousandths of a core.
    pub(crate) cpu: u64,
    /// Longest lease that it grants.
    pub(crate) longest_lease: Duration,
    /// Addresses at which it may announce itself.
    pub(crate) control: Vec<SocketAddr>,
}

/// One life of an executor, shared by its threads.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) plan: Plan,
    pub(super) life: Mutex<Life>,
    pub(super) tail_ms: Arc<AtomicU64>,
    is_alive: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    history: Arc<History>,
}

/// What an executor did.
#[derive(Debug)]
struct History {
    record: Record,
    started: Mutex<Vec<Started>>,
}

/// Executor that runs until it is dropped.
#[derive(Debug)]
pub(crate) struct Executor {
    plan: Plan,
    tail_ms: Arc<AtomicU64>,
    history: Arc<History>,
    shared: Arc<Shared>,
}

impl Executor {
    /// Starts an executor.
    pub(crate) fn start(plan: Plan, record: &Record) -> std::io::Result<Self> {
        let history = Arc::new(History { record: record.clone(), started: Mutex::default() });
        let tail_ms = Arc::new(AtomicU64::new(0));
        let shared = Shared::begin(&plan, &tail_ms, &history)?;
        Ok(Self { plan, tail_ms, history, shared })
    }

    /// Sets the tail of the response times of its tasks that serve.
    pub(crate) fn set_tail_ms(&self, tail_ms: u64) {
        self.tail_ms.store(tail_ms, Ordering::Relaxed);
    }

    pub(crate) fn get_plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns when its life began, in milliseconds since the Unix epoch.
    pub(crate) fn born_unix_ms(&self) -> u64 {
        self.shared.life.lock().unwrap_or_else(PoisonError::into_inner).born_unix_ms
    }

    /// Returns the processor time that its runs reserve.
    pub(crate) fn used_cpu(&self) -> u64 {
        self.shared.life.lock().unwrap_or_else(PoisonError::into_inner).used_cpu()
    }

    /// Returns the runs that have begun.
    pub(crate) fn started(&self) -> Vec<Started> {
        self.history.started.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Executor {
    fn drop(&mut self) {
        self.shared.stop();
    }
}

impl Shared {
    fn begin(
        plan: &Plan,
        tail_ms: &Arc<AtomicU64>,
        history: &Arc<History>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(plan.address)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Self {
            plan: plan.clone(),
            life: Mutex::new(Life::begin()),
            tail_ms: Arc::clone(tail_ms),
            is_alive: AtomicBool::new(true),
            streams: Mutex::default(),
            history: Arc::clone(history),
        });
        history.record.add(&format!("{} begins a life", plan.id));
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accepting.accept(&listener));
        let announcing = Arc::clone(&shared);
        thread::spawn(move || announcing.announce());
        Ok(shared)
    }

    pub(super) fn is_alive(&self) -> bool {
        self.is_alive.load(Ordering::Relaxed)
    }

    /// Returns the answer with `fields` and what every answer has.
    pub(super) fn object(&self, fields: Vec<(String, Value)>) -> Value {
        let life = self.life.lock().unwrap_or_else(PoisonError::into_inner);
        let common = [("clock_ms", life.clock_ms()), ("born", life.born_unix_ms)];
        let common = common.map(|(name, number)| (name.to_owned(), Value::from(number)));
        Value::Object(common.into_iter().chain(fields).collect())
    }

    pub(super) fn note_start(&self, started: Started) {
        let Started { task, run, executor, .. } = &started;
        self.history.record.add(&format!("{executor} starts {task} run {run}"));
        self.history.started.lock().unwrap_or_else(PoisonError::into_inner).push(started);
    }

    pub(super) fn note_ends(&self, ends: &[End]) {
        for End { task, run, how, .. } in ends {
            self.history.record.add(&format!("{} lists {task} run {run}: {how}", self.plan.id));
        }
    }

    fn stop(&self) {
        self.is_alive.store(false, Ordering::Relaxed);
        let streams =
            std::mem::take(&mut *self.streams.lock().unwrap_or_else(PoisonError::into_inner));
        for stream in streams {
            // The peer may have closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while self.is_alive() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_PERIOD);
                continue;
            };
            let is_ready = stream.set_nonblocking(false).and_then(|()| stream.set_nodelay(true));
            let (Ok(()), Ok(copy)) = (is_ready, stream.try_clone()) else { continue };
            self.streams.lock().unwrap_or_else(PoisonError::into_inner).push(copy);
            let shared = Arc::clone(self);
            thread::spawn(move || serve::serve(stream, &shared));
        }
    }

    /// Sends heartbeats; one without an acknowledgement goes to the next address.
    fn announce(&self) {
        let mut at = 0;
        for sequence in 1.. {
            if !self.is_alive() {
                return;
            }
            let body = self.heartbeat(sequence);
            for _ in 0..self.plan.control.len() {
                let path = format!("/api/executors/{}", self.plan.id);
                let target = ("PUT", path.as_str(), "control");
                let address = self.plan.control[at % self.plan.control.len()];
                let reply = wire::call(address, target, &body, HEARTBEAT_TIMEOUT);
                if reply.is_ok_and(|reply| reply.status / 100 == 2) || !self.is_alive() {
                    break;
                }
                at += 1;
            }
            thread::sleep(HEARTBEAT_PERIOD);
        }
    }

    fn heartbeat(&self, sequence: u64) -> String {
        let Plan { address, service, zone, cpu, .. } = &self.plan;
        let (born, clock_ms) = {
            let life = self.life.lock().unwrap_or_else(PoisonError::into_inner);
            (life.born_unix_ms, life.clock_ms())
        };
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"capacity":{{"cpu":{cpu},"mem_mb":64000,"gpu":0}},"labels":["a","r1-1"],"clock_ms":{clock_ms},"sequence":{sequence},"born":{born}}}"#
        )
    }
}
