//! A tour of the system in under a minute: one entry and one voter embedded in this process, with
//! stand-in executors and workers on threads.
//!
//! It promotes the sample document, runs searches, an unrepeatable certificate batch and a watch,
//! drops a worker meanwhile, and prints tail latency by class, batch throughput and evictions.

#![allow(clippy::print_stdout, reason = "an example prints its results")]

use std::error::Error;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use comfreymill_bench::first_day::{Client, Searches};
use comfreymill_bench::standin::{
    Executor, ExecutorConfig, Journal, RecordKind, Worker, WorkerConfig,
};
use comfreymill_node::embedded;
use comfreymill_node::runtime;
use comfreymill_node::settings;
use comfreymill_types::size;

type TourResult<T> = Result<T, Box<dyn Error + Send + Sync>>;

const DOCUMENT: &str = include_str!("../samples/environment-trust.yaml");
const CALLERS: usize = 4;
const SEARCHES_PER_CALLER: u32 = 400;
const CERTIFICATES: u32 = 24;
const WORK_MS: u64 = 2_000;

fn main() -> TourResult<()> {
    let folder = std::env::temp_dir().join(format!("comfreymill-first-day-{}", std::process::id()));
    let ports = free_ports()?;
    let tour = Tour::start(&folder, &ports)?;
    let result = tour.run();
    tour.stop()?;
    std::fs::remove_dir_all(&folder)?;
    result
}

/// The running system, its client, and the journal of the stand-ins.
struct Tour {
    client: Client,
    callers: SocketAddr,
    journal: Journal,
    upstreams: SocketAddr,
    stop: flume::Sender<runtime::Stop>,
    system: thread::JoinHandle<TourResult<()>>,
}

impl Tour {
    fn start(folder: &PathBuf, ports: &[SocketAddr]) -> TourResult<Self> {
        progress("starting one voter and one entry");
        let embedded = settings::Embedded::new(folder)
            .callers(ports[0])
            .upstreams(ports[1])
            .operators(ports[2])
            .peers(ports[3])
            .control_operators(ports[4])
            .control_peers(ports[5]);
        embedded.prepare()?;
        let token = std::fs::read_to_string(embedded.get_token_file())?;
        let (stop, stopped) = flume::unbounded();
        let system = thread::spawn(move || Ok(embedded::run(&embedded, &stopped)?));
        let client = Client::new(ports[2], token.trim());
        let journal = Journal::default();
        Ok(Self { client, callers: ports[0], journal, upstreams: ports[1], stop, system })
    }

    fn run(&self) -> TourResult<()> {
        progress("promoting the sample document");
        self.client.promote(DOCUMENT)?;
        progress("announcing two executors and three workers");
        let _executors = [self.start_executor("hr-1")?, self.start_executor("hr-2")?];
        let mut workers =
            vec![self.start_worker("w-1")?, self.start_worker("w-2")?, self.start_worker("w-3")?];
        Searches::wait_until_served(self.callers)?;
        let began = Instant::now();
        let watch = self.client.submit_job("watch", "conflict-watch", 1, None)?;
        self.wait_for(&watch, &RecordKind::Began)?;
        let batch = self.client.submit_job(
            "certificates",
            "certificate-batch",
            CERTIFICATES,
            Some(WORK_MS),
        )?;
        progress("searching while certificates are issued");
        let searches = Searches::start(self.callers, CALLERS, SEARCHES_PER_CALLER);
        self.lose_worker_of(&watch, &mut workers)?;
        let view = self.client.wait_for_job(&batch)?;
        let batch_time = began.elapsed();
        let latencies = searches.finish()?;
        self.wait_for(&format!("{watch}.0#2"), &RecordKind::Began)?;
        progress("done");
        println!();
        println!("{latencies}");
        println!("certificate batch: {view}, {:.1} s from submission", batch_time.as_secs_f64());
        let finished = self.journal.count(&batch, &RecordKind::Finished);
        let rate = finished as f64 / batch_time.as_secs_f64();
        println!("batch throughput: {finished} tasks finished, {rate:.2} tasks/s");
        println!("evictions: {}", self.client.count_evictions()?);
        println!("watch: runs again as {watch}.0#2 after its worker was lost");
        println!("why: {}", self.client.explain(&format!("{watch}.0"))?);
        Ok(())
    }

    /// Drops the worker that runs the watch.
    fn lose_worker_of(&self, watch: &str, workers: &mut Vec<Worker>) -> TourResult<()> {
        let records = self.journal.get_records();
        let began = records.iter().find(|record| record.subject.starts_with(watch));
        let place = &began.ok_or("the watch has not started")?.place;
        let index: usize = place.trim_start_matches("w-").parse()?;
        progress(&format!("losing worker {place}"));
        drop(workers.remove(index - 1));
        Ok(())
    }

    fn start_executor(&self, name: &str) -> TourResult<Executor> {
        let place = ("local".parse()?, "local-a".parse()?);
        let entries = vec![self.upstreams];
        let (environment, service) = ("derwent-hull".parse()?, "hull-register".parse()?);
        let cfg = ExecutorConfig::new(name.parse()?, environment, service, place, entries);
        Ok(Executor::start(cfg, self.journal.clone()))
    }

    fn start_worker(&self, name: &str) -> TourResult<Worker> {
        let place = ("tas-south".parse()?, "hobart-a".parse()?, "rack-1".parse()?);
        let capacity = size::Resources::new(16_000, 60_000_000_000, 0);
        let cfg = WorkerConfig::new(name.parse()?, place, capacity, vec![self.upstreams]);
        Ok(Worker::start(cfg, self.journal.clone()))
    }

    fn wait_for(&self, subject: &str, kind: &RecordKind) -> TourResult<()> {
        let began = Instant::now();
        while self.journal.count(subject, kind) == 0 {
            if began.elapsed() > Duration::from_secs(30) {
                return Err(format!("{subject}: no {kind:?} record within 30 s").into());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    fn stop(self) -> TourResult<()> {
        progress("stopping gracefully");
        self.stop.send(runtime::Stop::Graceful).ok();
        self.system.join().map_err(|_| "the system panicked")?
    }
}

fn free_ports() -> TourResult<Vec<SocketAddr>> {
    let listeners: Result<Vec<_>, _> =
        (0..6).map(|_| std::net::TcpListener::bind("127.0.0.1:0")).collect();
    let ports: Result<Vec<_>, _> =
        listeners?.iter().map(std::net::TcpListener::local_addr).collect();
    Ok(ports?)
}

fn progress(step: &str) {
    print!("\r\x1b[K{step} ...");
    // Failing to show the progress does not stop the example.
    std::io::stdout().flush().ok();
}
