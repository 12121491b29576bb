use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use super::addresses::{self, Addresses};
use super::commands;
use super::operator::{self, Route};
use super::process::Process;
use super::settings::{self, Machine};
use crate::client;
use crate::executor::{self, Executor, Gangs};
use crate::record;

/// Number of executors; one of them is an eighth, less than the largest share of the site file.
const EXECUTORS: usize = 8;
const SCHEDULERS: u8 = 5;
const GATEWAYS: u8 = 2;
/// Numbers of the first machine of each kind.
const FIRST_SCHEDULER: u8 = 1;
const FIRST_GATEWAY: u8 = FIRST_SCHEDULER + SCHEDULERS;
const FIRST_EXECUTOR: u8 = FIRST_GATEWAY + GATEWAYS;
const ZONES: [&str; 3] = ["hobart-a", "launceston-a", "kingston-b"];
/// Longest time until the deployment serves.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Why a case could not run.
#[derive(Debug)]
pub(crate) struct CaseError(pub(crate) String);

impl From<io::Error> for CaseError {
    fn from(error: io::Error) -> Self {
        Self(error.to_string())
    }
}

/// Running deployment, which ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Bed {
    pub(crate) record: record::Record,
    pub(crate) executors: Vec<Executor>,
    addresses: Addresses,
    folder: PathBuf,
    schedulers: Vec<Process>,
    gateways: Vec<Process>,
}

impl Bed {
    /// Starts the deployment with `route`, and waits until it serves; `labels` returns the labels of
    /// an executor by its number.
    pub(crate) fn start<L>(
        record: &record::Record,
        route: &Route,
        labels: L,
    ) -> Result<Self, CaseError>
    where
        L: Fn(usize) -> Vec<String>,
    {
        let machines = FIRST_EXECUTOR + EXECUTORS as u8;
        let addresses = Addresses::choose(machines)
            .ok_or_else(|| CaseError("no free loopback addresses".to_owned()))?;
        let folder = std::env::temp_dir().join(format!("standin-{}", addresses.machine(0)));
        fs::create_dir_all(&folder)?;
        let mut bed = Self {
            record: record.clone(),
            executors: Vec::new(),
            addresses,
            folder,
            schedulers: Vec::new(),
            gateways: Vec::new(),
        };
        for number in 0..SCHEDULERS {
            let process = bed.run("scheduler", FIRST_SCHEDULER + number)?;
            bed.schedulers.push(process);
        }
        for number in 0..GATEWAYS {
            let process = bed.run("gateway", FIRST_GATEWAY + number)?;
            bed.gateways.push(process);
        }
        bed.put(1, std::slice::from_ref(route))?;
        let gangs = Gangs::default();
        for number in 0..EXECUTORS {
            let mut controls = bed.controls();
            controls.rotate_left(number % usize::from(SCHEDULERS));
            let cfg = executor::Config {
                id: format!("i-{number}"),
                address: addresses.at(FIRST_EXECUTOR + number as u8, addresses::EXECUTOR_PORT),
                service: operator::SERVICE.to_owned(),
                zone: ZONES[number % ZONES.len()].to_owned(),
                labels: labels(number),
                controls,
            };
            bed.executors.push(Executor::start(cfg, record, &gangs)?);
        }
        bed.warm_up(route)?;
        Ok(bed)
    }

    /// Returns the addresses that serve control.
    pub(crate) fn controls(&self) -> Vec<SocketAddr> {
        let numbers = FIRST_SCHEDULER..FIRST_SCHEDULER + SCHEDULERS;
        numbers.map(|number| self.addresses.at(number, addresses::CONTROL_PORT)).collect()
    }

    /// Returns the address at which gateway `number` serves callers.
    pub(crate) fn gateway(&self, number: u8) -> SocketAddr {
        self.addresses.at(FIRST_GATEWAY + number, addresses::CALLERS_PORT)
    }

    /// Returns the number of a scheduler that does not lead.
    pub(crate) fn follower(&self) -> Result<usize, CaseError> {
        let leader = self.executors.iter().find_map(Executor::leader);
        let leader = leader.ok_or_else(|| CaseError("no executor knows the leader".to_owned()))?;
        let controls = self.controls();
        let follower = controls.iter().rposition(|control| *control != leader);
        follower.ok_or_else(|| CaseError("there is no follower".to_owned()))
    }

    /// Sends a configuration until it is acknowledged.
    pub(crate) fn put(&self, version: u64, routes: &[Route]) -> Result<(), CaseError> {
        Ok(operator::put(&self.record, &self.controls(), version, routes)?)
    }

    pub(crate) fn signal_scheduler(&self, number: usize, name: &str) -> Result<(), CaseError> {
        self.record.note(format!("scheduler {number} gets SIG{name}"));
        Ok(self.schedulers[number].signal(name)?)
    }

    pub(crate) fn signal_gateway(&self, number: usize, name: &str) -> Result<(), CaseError> {
        self.record.note(format!("gateway {number} gets SIG{name}"));
        Ok(self.gateways[number].signal(name)?)
    }

    /// Returns an error if a process has ended by itself.
    pub(crate) fn check_processes(&mut self) -> Result<(), CaseError> {
        let mut all = self.schedulers.iter_mut().chain(&mut self.gateways);
        if all.all(Process::is_running) {
            return Ok(());
        }
        Err(CaseError("a process has ended by itself".to_owned()))
    }

    fn run(&self, role: &str, machine: u8) -> Result<Process, CaseError> {
        let name = format!("{role}-{machine}");
        let file = |suffix: &str| self.folder.join(format!("{name}{suffix}")).display().to_string();
        let seeds = (FIRST_SCHEDULER..FIRST_SCHEDULER + 3)
            .map(|number| self.addresses.at(number, addresses::CONTROL_PORT));
        let filled = settings::fill(
            &format!("deploy/{role}.yaml"),
            &Machine {
                name: name.clone(),
                zone: ZONES[usize::from(machine) % ZONES.len()],
                address: self.addresses.machine(machine),
                seeds: seeds.collect(),
                data_folder: file(".data"),
                is_founding: true,
            },
        )?;
        fs::write(file(".yaml"), filled)?;
        let words = commands::command(role, &file(".yaml"))?;
        Ok(Process::start(&words, &file(".log"))?)
    }

    /// Waits until every executor is known, and a job has run on them.
    fn warm_up(&self, route: &Route) -> Result<(), CaseError> {
        let began = Instant::now();
        while self.executors.iter().any(|executor| executor.leader().is_none()) {
            if began.elapsed() > START_LIMIT {
                return Err(CaseError("executors are not acknowledged".to_owned()));
            }
            thread::sleep(Duration::from_millis(50));
        }
        let caller = client::Client::new(&self.record, self.gateway(0), route);
        let job = "00000000000000aa";
        // Tasks as large as an executor, so that each gets one.
        let spec = format!(
            "{{\"task_spec\":\"ms=200 cpu=15000\",\"steps\":[{{\"count\":{EXECUTORS},\"cpu\":15000,\"mem_mb\":1024,\"estimate_ms\":200}}]}}"
        );
        while caller.submit(job, &spec) != Some(200) {
            if began.elapsed() > START_LIMIT {
                return Err(CaseError("no job is accepted".to_owned()));
            }
            thread::sleep(Duration::from_millis(200));
        }
        if caller.wait_for(job, "completed", START_LIMIT).as_deref() != Some("completed") {
            return Err(CaseError("the first job does not complete".to_owned()));
        }
        self.record.note("the deployment serves");
        Ok(())
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.schedulers.clear();
        self.gateways.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
