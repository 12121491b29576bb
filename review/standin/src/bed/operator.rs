use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::record;
use crate::wire;

/// Name of the only service.
pub(super) const SERVICE: &str = "huvo11a";

/// Route of a configuration.
#[derive(Clone, Debug)]
pub(crate) struct Route {
    pub(crate) name: &'static str,
    pub(crate) host: &'static str,
    pub(crate) prefix: &'static str,
    pub(crate) timeout_ms: u64,
}

/// Sends a configuration to one node after the other until one acknowledges it.
pub(super) fn put(
    record: &record::Record,
    controls: &[SocketAddr],
    version: u64,
    routes: &[Route],
) -> io::Result<()> {
    let routes: Vec<String> = routes.iter().map(encode).collect();
    let body = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission_check\":true,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    );
    for attempt in 0..60 {
        let control = controls[attempt % controls.len()];
        let call = ("PUT", "/api/config");
        let reply = wire::call(control, call, "host: control\r\n", &body, Duration::from_secs(3));
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        record.note(format!("operator sends version {version} to {control}: {status}"));
        if status == 200 {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    Err(io::Error::other("no node has acknowledged the configuration"))
}

fn encode(route: &Route) -> String {
    let Route { name, host, prefix, timeout_ms } = route;
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path_prefix\":\"{prefix}\",\"kind\":\"unsafe\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":1000,\"priority\":0,\"service\":\"{SERVICE}\",\"max_attempts\":2,\"stretch\":2.0}}"
    )
}
