//! Jobs and routes that are submitted all the time, so that the log of the group grows.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::group_bed::GroupBed;
use super::standin;

const GATEWAYS: usize = 2;
const EXECUTORS: usize = 12;
const ZONES: [&str; 3] = ["cluj-a", "iasi-b", "buc-a"];
/// Longest lease that executors grant.
const MAX_LEASE: Duration = Duration::from_secs(10);
/// Number of threads that submit jobs.
const CALLERS: u64 = 16;
/// Work of a task.
const WORK_MS: u64 = 20;
const PAUSE: Duration = Duration::from_millis(20);
const ROUTES_PERIOD: Duration = Duration::from_millis(500);
/// Time for which the load runs before a change, so that snapshots are taken.
const WARM_UP: Duration = Duration::from_secs(12);

/// Load on a group; stopped when it is dropped.
pub(super) struct Load {
    is_over: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    /// Starts gateways, executors and those that submit jobs and routes.
    pub(super) fn start(bed: &mut GroupBed) -> Self {
        let gateways: Vec<SocketAddr> = (0..GATEWAYS).map(|_| bed.add_gateway()).collect();
        let controls: Vec<SocketAddr> = (0..5).map(|member| bed.control(member)).collect();
        bed.wait("routes", || {
            controls.iter().any(|control| standin::put_routes(*control, 1, "jobs"))
        });
        bed.wait("the gateways to serve", || {
            let mut callers = gateways.iter().map(|gateway| standin::Caller::new(*gateway));
            callers.all(|caller| caller.count_waiting("/jobs/") == Some(200))
        });
        let ledger = Arc::new(standin::Ledger::new());
        for number in 0..EXECUTORS {
            let nearest = standin::Controls::from(controls.clone()).rotated(number);
            let address = IpAddr::V4(bed.address(number % controls.len()));
            let (name, zone) = (format!("i-{number}"), ZONES[number % ZONES.len()]);
            standin::Executor::start(&name, zone, address, MAX_LEASE, nearest, &ledger);
        }
        let is_over = Arc::new(AtomicBool::new(false));
        let mut load = Self { is_over, threads: Vec::new() };
        let next = Arc::new(AtomicU64::new(1));
        for number in 0..CALLERS {
            let (next, gateways) = (Arc::clone(&next), gateways.clone());
            load.spawn(PAUSE, move || {
                let job = next.fetch_add(1, Ordering::Relaxed);
                let gateway = gateways[(job + number) as usize % gateways.len()];
                standin::Caller::new(gateway).submit_work(job, 1, WORK_MS);
            });
        }
        let mut version = 1;
        load.spawn(ROUTES_PERIOD, move || {
            version += 1;
            controls.iter().any(|control| standin::put_routes(*control, version, "jobs"));
        });
        load
    }

    /// Lets the load run for a while; returns by how many entries a second the log grows.
    pub(super) fn warm_up(&self, bed: &GroupBed) -> f64 {
        let commit = || bed.commit(bed.wait_for_leader());
        let (began, before) = (Instant::now(), commit());
        thread::sleep(WARM_UP);
        let after = commit();
        (after - before) as f64 / began.elapsed().as_secs_f64()
    }

    fn spawn<F>(&mut self, pause: Duration, mut act: F)
    where
        F: FnMut() + Send + 'static,
    {
        let is_over = Arc::clone(&self.is_over);
        self.threads.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                act();
                thread::sleep(pause);
            }
        }));
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A panic is printed already.
            let _ = thread.join();
        }
    }
}
