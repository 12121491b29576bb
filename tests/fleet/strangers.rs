use std::net::TcpStream;

use nix::sys::signal::Signal;

use crate::support::Fixture;

const STRANGERS: usize = 300;
const MOST_OPEN_FILES: usize = 200;

fn count_open_files(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).expect("the process runs").count()
}

#[test]
fn strangers_that_say_nothing_neither_exhaust_a_voter_nor_keep_peers_out() {
    let fixture = Fixture::start(3, 1);
    fixture.wait("an accepted version", || fixture.submit(0, 1, "before").0 == 200);
    let leader = fixture.wait_for_leader();
    let voter = (leader + 1) % 3;
    let address = fixture.cluster.get_peers(voter);
    let process = fixture.cluster.controls[voter].get_id().expect("it runs");
    let strangers: Vec<_> =
        (0..STRANGERS).map(|_| TcpStream::connect(address).expect("connected")).collect();
    // The voter answers its operators, so it has taken in what came before.
    fixture.wait("an answer of the voter", || {
        let call = comfreymill_bench::standin::Call::get("/healthz");
        call.send_blocking(fixture.cluster.get_control(voter)).is_ok()
    });
    assert!(count_open_files(process) < MOST_OPEN_FILES, "{}", count_open_files(process));
    // The group needs that voter now.
    fixture.cluster.controls[leader].signal(Signal::SIGKILL);
    fixture.wait("an accepted version", || fixture.submit(0, 2, "after").0 == 200);
    drop(strangers);
}
