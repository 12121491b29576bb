//! One scheduler and one gateway as processes, on a loopback address of their own.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::standin;

/// Longest time a test waits for a condition before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of the next test bed of this process, which sets its address apart from the others'.
static NEXT_NUMBER: AtomicU8 = AtomicU8::new(1);

/// One scheduler and one gateway, which are killed when the test bed is dropped.
pub(super) struct TestBed {
    address: Ipv4Addr,
    folder: PathBuf,
    processes: Vec<Child>,
}

impl TestBed {
    /// Starts a group of one scheduler and a gateway, and sets routes to one pool.
    pub(super) fn start() -> Self {
        Self::with_descriptors(4_096)
    }

    /// Starts the processes with a scheduler that may use `descriptors` descriptors.
    pub(super) fn with_descriptors(descriptors: usize) -> Self {
        Self::with_setting("descriptors: 4096", &format!("descriptors: {descriptors}"))
    }

    /// Starts the processes with a scheduler in whose settings `from` is replaced.
    pub(super) fn with_setting(from: &str, to: &str) -> Self {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let address = Ipv4Addr::new(127, 200_u8.wrapping_add(2 * number) | 1, high, low | 1);
        let folder = std::env::temp_dir().join(format!("comfreymill-bed-{address}"));
        fs::create_dir_all(&folder).expect("the folder is made");
        let mut bed = Self { address, folder, processes: Vec::new() };
        bed.run("scheduler", &bed.scheduler_settings().replace(from, to));
        bed.run("gateway", &bed.gateway_settings());
        bed.wait("routes to be accepted", || standin::put_routes(bed.control(), 1, "jobs"));
        bed
    }

    /// Returns the IP address of the processes, on which workers may listen as well.
    pub(super) fn get_address(&self) -> IpAddr {
        IpAddr::V4(self.address)
    }

    /// Returns the address at which workers announce themselves.
    pub(super) fn control(&self) -> SocketAddr {
        SocketAddr::from((self.address, 7_415))
    }

    /// Returns a caller that sends its requests to the gateway.
    pub(super) fn caller(&self) -> standin::Caller {
        standin::Caller::new(SocketAddr::from((self.address, 7_400)))
    }

    /// Waits until a condition is met; fails with the logs if it never is.
    pub(super) fn wait<F>(&self, what: &str, mut is_met: F)
    where
        F: FnMut() -> bool,
    {
        let began = Instant::now();
        while !is_met() {
            assert!(
                began.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for {what}\n{}",
                self.logs()
            );
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Returns whether the scheduler has logged an event at least `times` times.
    pub(super) fn has_logged(&self, event: &str, times: usize) -> bool {
        self.logs().matches(event).count() >= times
    }

    /// Returns what `comfreymill explain` prints about a job.
    pub(super) fn explain(&self, job: u64) -> String {
        let operators = SocketAddr::from((self.address, 7_414));
        self.command(operators, &["explain", &format!("{job:016x}")])
    }

    /// Returns what a command on zones prints, errors included.
    pub(super) fn zone(&self, args: &[&str]) -> String {
        self.command(self.control(), &[&["zone"], args].concat())
    }

    fn command(&self, operators: SocketAddr, args: &[&str]) -> String {
        let mut command = Command::new(env!("CARGO_BIN_EXE_comfreymill"));
        command.args(args).args(["--operators", &operators.to_string()]);
        let output = command.output().expect("the command runs");
        String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
    }

    /// Kills the scheduler and starts it again with its data folder.
    pub(super) fn restart_scheduler(&mut self) {
        let mut scheduler = self.processes.remove(0);
        scheduler.kill().expect("the process runs");
        scheduler.wait().expect("the process has ended");
        self.run("scheduler", &self.scheduler_settings());
        self.processes.rotate_right(1);
    }

    /// Returns what `comfreymill check` prints about routes, compared with those in force.
    pub(super) fn check_routes(&self, file: &str) -> String {
        let mut command = Command::new(env!("CARGO_BIN_EXE_comfreymill"));
        let control = self.control().to_string();
        command.args(["check", "--routes", file, "--in-force", "--operators", &control]);
        let output = command.output().expect("the command runs");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Returns the number of descriptors that the scheduler has open.
    pub(super) fn scheduler_descriptors(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.processes[0].id());
        fs::read_dir(folder).expect("the process runs").count()
    }

    /// Returns the processor time that the scheduler has used.
    pub(super) fn scheduler_cpu(&self) -> Duration {
        let id = self.processes[0].id();
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).expect("the process runs");
        let fields = stat.rsplit(')').next().expect("the name ends").split_whitespace();
        // User and system time in ticks of 10 ms.
        let ticks: u64 =
            fields.skip(11).take(2).map(|field| field.parse::<u64>().expect("ticks")).sum();
        Duration::from_millis(ticks * 10)
    }

    fn run(&mut self, program: &str, settings: &str) {
        let path = self.folder.join(format!("{program}.yaml"));
        fs::write(&path, settings).expect("settings are written");
        let log = fs::File::create(self.folder.join(format!("{program}.log"))).expect("a log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_comfreymill"));
        command.arg(program).arg("--settings").arg(path).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a second handle")).stderr(log);
        self.processes.push(command.spawn().expect("the program starts"));
    }

    fn scheduler_settings(&self) -> String {
        let sample = include_str!("../../samples/scheduler.yaml");
        let data = self.folder.join("data");
        let text = sample.replace("127.0.0.1", &self.address.to_string());
        text.replace("voters: 5", "voters: 1")
            .replace("data/scheduler", data.to_str().expect("the path is text"))
    }

    fn gateway_settings(&self) -> String {
        include_str!("../../samples/gateway.yaml").replace("127.0.0.1", &self.address.to_string())
    }

    fn logs(&self) -> String {
        let read = |name: &str| fs::read_to_string(self.folder.join(name)).unwrap_or_default();
        format!("{}\n{}", read("scheduler.log"), read("gateway.log"))
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // Killing a process that has already ended fails.
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
