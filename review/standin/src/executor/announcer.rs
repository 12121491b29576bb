use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::config::{self, Config};
use super::life::Life;
use crate::json;
use crate::record;
use crate::wire;

/// Wait before the next node is called after a failure; doubled each time.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Sends an incarnation's heartbeats.
#[derive(Debug)]
pub(super) struct Announcer {
    cfg: Config,
    life: Arc<Life>,
    record: record::Record,
    sequence: AtomicU64,
    /// Node for the next heartbeat.
    next: Mutex<Option<SocketAddr>>,
    is_draining: Mutex<bool>,
    drain_acknowledged: Mutex<bool>,
}

impl Announcer {
    /// Starts to send heartbeats, the first one at once.
    pub(super) fn start(cfg: Config, life: Arc<Life>, record: record::Record) -> Arc<Self> {
        let announcer = Arc::new(Self {
            cfg,
            life,
            record,
            sequence: AtomicU64::new(0),
            next: Mutex::new(None),
            is_draining: Mutex::new(false),
            drain_acknowledged: Mutex::new(false),
        });
        let sending = Arc::clone(&announcer);
        thread::spawn(move || sending.run());
        announcer
    }

    /// Says from the next heartbeat on that the executor is draining; waits for an acknowledgement.
    pub(super) fn drain(&self, limit: Duration) -> bool {
        *self.is_draining.lock().expect("no thread panics") = true;
        let began = Instant::now();
        while began.elapsed() < limit {
            if *self.drain_acknowledged.lock().expect("no thread panics") {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Says that the executor ends, at one node after the other until one acknowledges it.
    pub(super) fn depart(&self, first: SocketAddr) -> bool {
        let path = format!("/api/executors/{}", self.cfg.id);
        let others = self.cfg.controls.iter().filter(|control| **control != first);
        for control in [first].iter().chain(others) {
            let reply = wire::call(
                *control,
                ("DELETE", &path),
                "host: control\r\n",
                "",
                config::CALL_LIMIT,
            );
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            self.record.note(format!("{} DELETE at {control}: {status}", self.cfg.id));
            if (200..300).contains(&status) {
                return true;
            }
        }
        false
    }

    fn run(&self) {
        let mut position = 0;
        let mut backoff = MIN_BACKOFF;
        while !self.life.is_over() {
            let next = *self.next.lock().expect("no thread panics");
            let node = next.unwrap_or(self.cfg.controls[position % self.cfg.controls.len()]);
            let is_draining = *self.is_draining.lock().expect("no thread panics");
            if self.beat(node, is_draining) {
                backoff = MIN_BACKOFF;
                if is_draining {
                    *self.drain_acknowledged.lock().expect("no thread panics") = true;
                }
                let woken = || *self.is_draining.lock().expect("no thread panics") != is_draining;
                let began = Instant::now();
                while began.elapsed() < config::HEARTBEAT && !self.life.is_over() && !woken() {
                    thread::sleep(Duration::from_millis(10));
                }
            } else {
                *self.next.lock().expect("no thread panics") = None;
                position += 1;
                thread::sleep(backoff);
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }

    fn beat(&self, node: SocketAddr, is_draining: bool) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let labels: Vec<String> =
            self.cfg.labels.iter().map(|label| format!("{label:?}")).collect();
        let clock_ms = self.life.state.lock().expect("no thread panics").clock_ms();
        let state = if is_draining {
            "\"state\":\"draining\",\"drain_remaining_ms\":2500"
        } else {
            "\"state\":\"ready\""
        };
        let Config { id, address, service, zone, .. } = &self.cfg;
        let (cpu, mem, born) = (config::CPU_MILLI, config::MEM_MB, self.life.born);
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,{state},\"cold_left_ms\":0,\"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem},\"gpu\":0}},\"labels\":[{}],\"clock_ms\":{clock_ms},\"sequence\":{sequence},\"born\":{born}}}",
            labels.join(",")
        );
        let path = format!("/api/executors/{id}");
        let reply =
            wire::call(node, ("PUT", &path), "host: control\r\n", &body, config::CALL_LIMIT);
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        if sequence == 1 || !(200..300).contains(&status) {
            self.record.note(format!("{id} heartbeat {sequence} at {node}: {status}"));
        }
        let Ok(reply) = reply else { return false };
        let answer = json::parse(&reply.body);
        let next = answer.as_ref().and_then(|answer| answer.text("heartbeat_addr"));
        if let Some(next) = next.and_then(|next| next.parse().ok()) {
            *self.next.lock().expect("no thread panics") = Some(next);
        }
        (200..300).contains(&reply.status)
    }

    /// Returns the node that the last heartbeat's answer named, which leads the group.
    pub(super) fn leader(&self) -> Option<SocketAddr> {
        *self.next.lock().expect("no thread panics")
    }
}
