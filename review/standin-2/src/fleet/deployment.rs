use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use super::process::Process;
use super::template::Values;
use crate::record::Record;
use crate::wire::{self, Reply};

/// Service of the only pool.
pub(crate) const SERVICE: &str = "desk";
/// Host of the routes.
const HOST: &str = "desk.example";
/// Number of seeds; the platform names at most three.
const SEEDS: usize = 3;
/// Times after which callers and operators take a call for unanswered.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// Schedulers and one gateway, on addresses of their own.
#[derive(Debug)]
pub(crate) struct Deployment {
    base: [u8; 3],
    folder: PathBuf,
    schedulers: Vec<Process>,
    gateway: Process,
    control_port: u16,
    callers_port: u16,
    record: Record,
}

impl Deployment {
    /// Prepares `count` schedulers and a gateway, without starting them.
    pub(crate) fn prepare(count: u8, record: &Record) -> io::Result<Self> {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let base = [127, 64 | (high & 63), low | 1];
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let [peers_port, control_port, callers_port, ready_port] = free_ports(host(base, 1))?;
        let seeds = (1..=count).map(|number| SocketAddr::from((host(base, number), control_port)));
        let seeds: Vec<String> = seeds.take(SEEDS).map(|seed| seed.to_string()).collect();
        let values = |name: String, number: u8| {
            let ip = host(base, number);
            let data = folder.join(format!("data-{number}"));
            Values::new()
                .set("node_name", name)
                .set("zone", "south-a")
                .set("region", "south")
                .set("zone_names", "south-a")
                .set("ip", ip)
                .set("internal_ports.0", peers_port)
                .set("seeds", seeds.join(","))
                .set("listen.control", SocketAddr::from((ip, control_port)))
                .set("listen.front", SocketAddr::from((ip, callers_port)))
                .set("listen.ready", SocketAddr::from((ip, ready_port)))
                .set("bounds.remote_factor", 3)
                .set("limits.max_fds", 4_096)
                .set("data_dir", data.display())
        };
        let template = fs::read_to_string("deploy/scheduler.yaml")?;
        let mut schedulers = Vec::new();
        for number in 1..=count {
            fs::create_dir_all(folder.join(format!("data-{number}")))?;
            for bootstrap in [true, false] {
                let values = values(format!("core-{number}"), number).set("bootstrap", bootstrap);
                let path = folder.join(settings_name(number, bootstrap));
                fs::write(path, values.render(&template))?;
            }
            let path = folder.join(format!("core-{number}.yaml"));
            fs::copy(folder.join(settings_name(number, true)), &path)?;
            let log = folder.join(format!("core-{number}.log"));
            schedulers.push(Process::new(&deploy, "scheduler]", &path, log)?);
        }
        let template = fs::read_to_string("deploy/gateway.yaml")?;
        let path = folder.join("front.yaml");
        fs::write(&path, values("front-1".to_owned(), 101).render(&template))?;
        let gateway = Process::new(&deploy, "gateway]", &path, folder.join("front.log"))?;
        let record = record.clone();
        Ok(Self { base, folder, schedulers, gateway, control_port, callers_port, record })
    }

    /// Starts all processes and waits until a configuration is in force.
    pub(crate) fn begin(&mut self) -> io::Result<bool> {
        for number in 1..=self.schedulers.len() as u8 {
            self.start_scheduler(number)?;
        }
        self.start_gateway()?;
        Ok(self.configure(Duration::from_secs(20)))
    }

    /// Starts scheduler `number`, counting from 1.
    pub(crate) fn start_scheduler(&mut self, number: u8) -> io::Result<()> {
        self.record.add(&format!("core-{number} is started"));
        self.schedulers[usize::from(number) - 1].start()
    }

    pub(crate) fn start_gateway(&mut self) -> io::Result<()> {
        self.gateway.start()
    }

    fn without_bootstrap(&self, number: u8) -> io::Result<()> {
        let later = self.folder.join(settings_name(number, false));
        fs::copy(later, self.folder.join(format!("core-{number}.yaml"))).map(drop)
    }

    /// Kills scheduler `number`; when it starts again, `bootstrap` is false in its settings.
    pub(crate) fn kill_scheduler(&mut self, number: u8) -> io::Result<()> {
        self.record.add(&format!("core-{number} is killed"));
        self.schedulers[usize::from(number) - 1].kill();
        self.without_bootstrap(number)
    }

    /// Returns the addresses at which executors and operators reach the schedulers.
    pub(crate) fn control(&self) -> Vec<SocketAddr> {
        let numbers = 1..=self.schedulers.len() as u8;
        numbers.map(|number| (host(self.base, number), self.control_port).into()).collect()
    }

    /// Returns a free address for executor `number`.
    pub(crate) fn executor_address(&self, number: u8) -> io::Result<SocketAddr> {
        TcpListener::bind((host(self.base, 120 + number), 0))?.local_addr()
    }

    /// Sends the first configuration to one scheduler after the other until it is acknowledged.
    pub(crate) fn configure(&self, limit: Duration) -> bool {
        let began = Instant::now();
        let body = format!(
            r#"{{"version":1,"routes":[{},{}],"services":[{{"name":"{SERVICE}","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"admission_check":true,"standby":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
            route("search", "/search/", 0),
            route("batch", "/batch/", 2),
        );
        for address in self.control().iter().cycle() {
            let target = ("PUT", "/api/config", "control");
            let reply = wire::call(*address, target, &body, OPERATOR_TIMEOUT);
            let status = reply.map_or(0, |reply| reply.status);
            self.record.add(&format!("operator PUT /api/config at {address}: {}", shown(status)));
            if status == 200 {
                return true;
            }
            if began.elapsed() >= limit {
                break;
            }
            thread::sleep(Duration::from_millis(250));
        }
        false
    }

    /// Sends a caller's request; a status of 0 says that no complete response came.
    pub(crate) fn call(&self, method: &str, path: &str, body: &str) -> Reply {
        let address = SocketAddr::from((host(self.base, 101), self.callers_port));
        let reply = wire::call(address, (method, path, HOST), body, CALLER_TIMEOUT);
        let reply = reply.unwrap_or_else(|_| Reply { status: 0, body: Default::default() });
        let line = format!("client {method} {path} {body}: {} {}", shown(reply.status), reply.body);
        self.record.add(&line);
        reply
    }

    /// Submits a job, again and again until it is accepted.
    pub(crate) fn submit(&self, path: &str, body: &str) -> bool {
        (0..10).any(|_| {
            let is_accepted = self.call("POST", path, body).status == 200;
            if !is_accepted {
                thread::sleep(Duration::from_millis(500));
            }
            is_accepted
        })
    }

    /// Returns the state of a job, if it is shown.
    pub(crate) fn state(&self, path: &str) -> String {
        self.call("GET", path, "").body.get("state").text().to_owned()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.schedulers.clear();
        self.gateway.kill();
        if std::env::var_os("KEEP").is_none() {
            // What is left in the temporary folder does no harm.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn host(base: [u8; 3], number: u8) -> Ipv4Addr {
    let [a, b, c] = base;
    Ipv4Addr::new(a, b, c, number)
}

fn settings_name(number: u8, bootstrap: bool) -> String {
    format!("core-{number}-bootstrap-{bootstrap}.yaml")
}

fn shown(status: u16) -> String {
    if status == 0 { "no response".to_owned() } else { status.to_string() }
}

/// Returns ports that are free at an address, all different.
fn free_ports<const COUNT: usize>(ip: Ipv4Addr) -> io::Result<[u16; COUNT]> {
    let mut listeners = Vec::new();
    let mut ports = [0; COUNT];
    for port in &mut ports {
        let listener = TcpListener::bind((ip, 0))?;
        *port = listener.local_addr()?.port();
        listeners.push(listener);
    }
    Ok(ports)
}

fn route(name: &str, prefix: &str, priority: u8) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{prefix}","kind":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":{priority},"service":"{SERVICE}","max_attempts":3,"stretch":2.0}}"#
    )
}
