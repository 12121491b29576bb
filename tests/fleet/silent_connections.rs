use std::net::TcpStream;

use nix::sys::signal::Signal;

use crate::support::Fixture;

const SILENT_CONNECTIONS: usize = 300;
const MAX_OPEN_FILES: usize = 200;

fn count_open_files(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).expect("the process runs").count()
}

#[test]
fn silent_connections_neither_exhaust_a_voter_nor_keep_peers_out() {
    let fixture = Fixture::start(3, 1);
    fixture.wait("an accepted version", || fixture.submit(0, 1, "before").0 == 200);
    let leader = fixture.wait_for_leader();
    let voter = (leader + 1) % 3;
    let address = fixture.cluster.get_peers(voter);
    let process = fixture.cluster.controls[voter].get_id().expect("the process runs");
    let connections: Vec<_> =
        (0..SILENT_CONNECTIONS).map(|_| TcpStream::connect(address).expect("connected")).collect();
    // The voter answers its operators, so it has accepted the earlier connections.
    fixture.wait("an answer of the voter", || {
        let call = comfreymill_bench::standin::Call::get("/healthz");
        call.send_blocking(fixture.cluster.get_control(voter)).is_ok()
    });
    assert!(count_open_files(process) < MAX_OPEN_FILES, "{}", count_open_files(process));
    // Without the leader, the group has a quorum only with this voter.
    fixture.cluster.controls[leader].signal(Signal::SIGKILL);
    fixture.wait("an accepted version", || fixture.submit(0, 2, "after").0 == 200);
    drop(connections);
}
