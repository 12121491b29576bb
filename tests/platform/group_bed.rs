//! A group of schedulers as processes, each on a loopback address of its own, and gateways.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;

use super::standin;

/// Longest time a test waits for a condition before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a process is frozen so that another one is the better successor; shorter than the
/// silence after which it is removed.
const FREEZE_TIME: Duration = Duration::from_millis(600);
/// Number of schedulers that found the group.
const FOUNDERS: usize = 3;

/// Number of the next group of this process, which sets its addresses apart from the others'.
static NEXT_NUMBER: AtomicU8 = AtomicU8::new(1);

/// Schedulers, which are killed when the bed is dropped.
pub(super) struct GroupBed {
    number: u8,
    voters: usize,
    folder: PathBuf,
    /// Lines that are added to the settings of the schedulers.
    settings: &'static str,
    /// Schedulers that processes are told as their seeds when they start.
    seeds: Vec<usize>,
    /// Variables with which single schedulers are started.
    variables: BTreeMap<usize, Vec<(&'static str, OsString)>>,
    processes: Vec<Option<Child>>,
    gateways: Vec<Option<Child>>,
}

impl GroupBed {
    /// Port on which the schedulers listen for peers.
    pub(super) const PEERS_PORT: u16 = 7_411;
    /// Key of the group.
    pub(super) const KEY: &str = "a text of at least 32 bytes that every process of the group has";

    /// Starts a group of three schedulers that wants `voters` voters.
    pub(super) fn start(voters: usize) -> Self {
        Self::with_settings(voters, "")
    }

    /// Starts a group of three schedulers with further settings.
    pub(super) fn with_settings(voters: usize, settings: &'static str) -> Self {
        let mut bed = Self::empty(voters, settings);
        for _ in 0..FOUNDERS {
            bed.add();
        }
        bed
    }

    /// Creates a group whose schedulers are not started yet.
    pub(super) fn empty(voters: usize, settings: &'static str) -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("comfreymill-group-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("the folder is made");
        let seeds = (0..FOUNDERS).collect();
        let (variables, processes, gateways) = (BTreeMap::new(), Vec::new(), Vec::new());
        Self { number, voters, folder, settings, seeds, variables, processes, gateways }
    }

    /// Starts another scheduler with an empty data folder and returns its number.
    pub(super) fn add(&mut self) -> usize {
        self.processes.push(None);
        let member = self.processes.len() - 1;
        self.run(member);
        member
    }

    /// Sets the seeds of the processes that are started from now on.
    pub(super) fn set_seeds(&mut self, seeds: Vec<usize>) {
        self.seeds = seeds;
    }

    /// Starts another scheduler as on later starts of the system; returns its number.
    pub(super) fn add_later(&mut self) -> usize {
        self.processes.push(None);
        let member = self.processes.len() - 1;
        self.run_later(member);
        member
    }

    /// Starts a gateway and returns the address of its listener for callers.
    pub(super) fn add_gateway(&mut self) -> SocketAddr {
        self.gateways.push(None);
        let number = self.gateways.len() - 1;
        self.run_gateway(number);
        SocketAddr::from((self.gateway_address(number), 7_400))
    }

    /// Starts a gateway that is not running.
    pub(super) fn run_gateway(&mut self, number: usize) {
        let sample = include_str!("../../samples/gateway.yaml");
        let settings = sample
            .replace("seeds: 127.0.0.1", &format!("seeds: {}", self.seeds()))
            .replace("127.0.0.1", &self.gateway_address(number).to_string());
        let gateway = self.command("gateway", &format!("gateway-{number}"), &settings).spawn();
        self.gateways[number] = Some(gateway.expect("the program starts"));
    }

    /// Kills a gateway.
    pub(super) fn kill_gateway(&mut self, number: usize) {
        let mut process = self.gateways[number].take().expect("the process runs");
        process.kill().expect("the process runs");
        process.wait().expect("the process has ended");
    }

    /// Returns the address at which a scheduler serves workers and operators.
    pub(super) fn control(&self, member: usize) -> SocketAddr {
        SocketAddr::from((self.address(member), 7_415))
    }

    /// Starts a scheduler that is not running, with its data folder.
    pub(super) fn run(&mut self, member: usize) {
        self.run_with(member, &self.scheduler_settings(member));
    }

    /// Sets the variables with which a scheduler is started from now on.
    pub(super) fn set_variables(
        &mut self,
        member: usize,
        variables: Vec<(&'static str, OsString)>,
    ) {
        self.variables.insert(member, variables);
    }

    fn run_with(&mut self, member: usize, settings: &str) {
        let mut command = self.command("scheduler", &member.to_string(), settings);
        command.envs(self.variables.get(&member).cloned().unwrap_or_default());
        self.processes[member] = Some(command.spawn().expect("the program starts"));
    }

    fn command(&self, program: &str, name: &str, settings: &str) -> Command {
        let path = self.folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("settings are written");
        let log = self.folder.join(format!("{name}.log"));
        let log = fs::File::options().create(true).append(true).open(log).expect("a log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_comfreymill"));
        command.arg(program).arg("--settings").arg(path).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a second handle")).stderr(log);
        command
    }

    /// Kills a scheduler.
    pub(super) fn kill(&mut self, member: usize) {
        let mut process = self.processes[member].take().expect("the process runs");
        process.kill().expect("the process runs");
        process.wait().expect("the process has ended");
    }

    /// Starts a scheduler as on later starts of the system, when no group is founded.
    pub(super) fn run_later(&mut self, member: usize) {
        let settings = self.scheduler_settings(member).replace("founding: true", "founding: false");
        self.run_with(member, &settings);
    }

    /// Starts a scheduler as on later starts of the system, with `seeds` instead of the founders.
    pub(super) fn run_later_with_seeds(&mut self, member: usize, seeds: &[usize]) {
        let settings = self.scheduler_settings(member).replace("founding: true", "founding: false");
        let seeds: Vec<String> = seeds.iter().map(|seed| self.address(*seed).to_string()).collect();
        let settings = settings.replace(&self.seeds(), &seeds.join(", "));
        self.run_with(member, &settings);
    }

    /// Changes the seeds in the settings of a gateway that runs, and tells it so.
    pub(super) fn change_gateway_seeds(&self, number: usize, seeds: &[usize]) {
        let path = self.folder.join(format!("gateway-{number}.yaml"));
        let settings = fs::read_to_string(&path).expect("the gateway has settings");
        let seeds: Vec<String> = seeds.iter().map(|seed| self.address(*seed).to_string()).collect();
        let settings = settings.replace(&self.seeds(), &seeds.join(", "));
        fs::write(path, settings).expect("settings are written");
        let gateway = self.gateways[number].as_ref().expect("the gateway runs");
        let id = i32::try_from(gateway.id()).expect("a process id");
        signal::kill(Pid::from_raw(id), Signal::SIGHUP).expect("the process runs");
    }

    /// Kills a scheduler and deletes its data folder.
    pub(super) fn wipe(&mut self, member: usize) {
        self.kill(member);
        fs::remove_dir_all(self.folder.join(format!("data-{member}"))).expect("it has a folder");
    }

    /// Sends a signal to a scheduler.
    pub(super) fn signal(&self, member: usize, signal: Signal) {
        let process = self.processes[member].as_ref().expect("the process runs");
        let id = i32::try_from(process.id()).expect("a process id");
        signal::kill(Pid::from_raw(id), signal).expect("the process runs");
    }

    /// Stops the leader gracefully while only `successor` answers it, and starts it again.
    pub(super) fn hand_over(&mut self, leader: usize, successor: usize) {
        let frozen: Vec<usize> = (0..self.processes.len())
            .filter(|member| *member != leader && *member != successor)
            .collect();
        for member in &frozen {
            self.signal(*member, Signal::SIGSTOP);
        }
        thread::sleep(FREEZE_TIME);
        self.signal(leader, Signal::SIGTERM);
        let mut process = self.processes[leader].take().expect("the process runs");
        process.wait().expect("the process ends");
        for member in &frozen {
            self.signal(*member, Signal::SIGCONT);
        }
        self.run(leader);
    }

    /// Returns the address of a scheduler.
    pub(super) fn address(&self, member: usize) -> Ipv4Addr {
        Self::loopback(100 + self.number, member)
    }

    fn gateway_address(&self, number: usize) -> Ipv4Addr {
        Self::loopback(100 - self.number, number)
    }

    /// Returns the loopback address of a process of a group.
    fn loopback(group: u8, process: usize) -> Ipv4Addr {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let process = u8::try_from(process).expect("few processes");
        assert!(process < 15, "a group has addresses for 15 processes of a kind");
        Ipv4Addr::new(127, group, high ^ low.rotate_left(4), low & 0xf0 | (process + 1))
    }

    /// Waits until a scheduler leads, and returns its number.
    pub(super) fn wait_for_leader(&self) -> usize {
        let mut leader = None;
        self.wait("a leader", || {
            leader = self.leader();
            leader.is_some()
        });
        leader.expect("a leader was found")
    }

    /// Returns the scheduler that leads, if one does.
    pub(super) fn leader(&self) -> Option<usize> {
        let mut running = self.running();
        running.find(|member| self.status(*member)["serving"] == true)
    }

    /// Returns the number of votes that count, as the scheduler `from` knows them.
    pub(super) fn count_voters(&self, from: usize) -> usize {
        self.status(from)["voters"].as_array().map_or(0, Vec::len)
    }

    /// Returns the number of running schedulers that are voters with the data folders that they have.
    pub(super) fn count_running_voters(&self) -> usize {
        let is_voter = |member: &usize| {
            let status = self.status(*member);
            ["leader", "follower"].iter().any(|role| status["role"] == *role)
        };
        self.running().filter(is_voter).count()
    }

    /// Returns the index of the last committed entry that a scheduler knows.
    pub(super) fn commit(&self, member: usize) -> u64 {
        self.status(member)["commit"].as_u64().unwrap_or_default()
    }

    /// Returns the members of the group, as the scheduler `from` knows them.
    pub(super) fn members(&self, from: usize) -> Vec<usize> {
        self.known(from, "members")
    }

    /// Returns the voters of the group, as the scheduler `from` knows them.
    pub(super) fn voters(&self, from: usize) -> Vec<usize> {
        self.known(from, "voters")
    }

    /// Returns whether a scheduler is a voter by its own data, and not only one at its address.
    pub(super) fn votes(&self, member: usize) -> bool {
        let status = self.status(member);
        status["role"] == "follower" || status["role"] == "leader"
    }

    /// Returns how often a scheduler has rejoined the group within its processes.
    pub(super) fn count_rejoins(&self, member: usize) -> usize {
        let log = fs::read_to_string(self.log(member)).unwrap_or_default();
        log.matches("which rejoins with an empty data folder").count()
    }

    /// Returns when the processes of a scheduler started, by its log.
    pub(super) fn starts(&self, member: usize) -> Vec<SystemTime> {
        let log = fs::read_to_string(self.log(member)).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains("the scheduler starts"));
        let unix_ms = lines.map(|line| {
            let event: serde_json::Value = serde_json::from_str(line).expect("a whole line");
            event["unix_ms"].as_u64().expect("the time of the event")
        });
        unix_ms.map(|ms| SystemTime::UNIX_EPOCH + Duration::from_millis(ms)).collect()
    }

    /// Waits until a condition is met; fails with the logs if it never is.
    pub(super) fn wait<F>(&self, what: &str, mut is_met: F)
    where
        F: FnMut() -> bool,
    {
        let began = Instant::now();
        while !is_met() {
            let is_over = began.elapsed() >= WAIT_TIMEOUT;
            assert!(!is_over, "timed out waiting for {what}\n{}", self.logs());
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns the folder with the logs.
    pub(super) fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the logs of all schedulers.
    pub(super) fn logs(&self) -> String {
        let read = |member| fs::read_to_string(self.log(member)).unwrap_or_default();
        (0..self.processes.len()).map(|member| format!("== {member}\n{}", read(member))).collect()
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        (0..self.processes.len()).filter(|member| self.processes[*member].is_some())
    }

    fn known(&self, from: usize, field: &str) -> Vec<usize> {
        let status = self.status(from);
        let addresses = status[field].as_array().cloned().unwrap_or_default();
        let is_named = |member: &usize| {
            let address = self.address(*member).to_string();
            addresses.iter().any(|named| named.as_str() == Some(address.as_str()))
        };
        (0..self.processes.len()).filter(is_named).collect()
    }

    /// Returns the status that a scheduler shows, empty if it does not answer.
    pub(super) fn status(&self, member: usize) -> serde_json::Value {
        standin::read_status(SocketAddr::from((self.address(member), 7_414))).unwrap_or_default()
    }

    fn log(&self, member: usize) -> PathBuf {
        self.folder.join(format!("{member}.log"))
    }

    fn seeds(&self) -> String {
        let seeds: Vec<String> =
            self.seeds.iter().map(|seed| self.address(*seed).to_string()).collect();
        seeds.join(", ")
    }

    fn scheduler_settings(&self, member: usize) -> String {
        let sample = include_str!("../../samples/scheduler.yaml");
        let data = self.folder.join(format!("data-{member}"));
        let text = sample
            .replace("seeds: 127.0.0.1", &format!("seeds: {}", self.seeds()))
            .replace("127.0.0.1", &self.address(member).to_string())
            .replace("voters: 5", &format!("voters: {}", self.voters))
            .replace("data/scheduler", data.to_str().expect("the path is text"));
        format!("{text}{}", self.settings)
    }
}

impl Drop for GroupBed {
    fn drop(&mut self) {
        for process in self.processes.iter_mut().chain(&mut self.gateways).flatten() {
            // Killing a process that has already ended fails.
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
