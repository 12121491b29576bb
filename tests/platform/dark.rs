//! Machines that go dark: they neither reset connections nor answer.
//!
//! The tests check that a gateway serves again, and print after how long.

use std::env;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use super::group_bed::GroupBed;
use super::session::Session;
use super::standin;

const VOTERS: usize = 5;
/// Number of silent connections, more than a scheduler serves before their peers have identified
/// themselves.
const SILENT_PEERS: usize = 80;

/// The leader, or all schedulers, are dark for a while; `COMFREYMILL_DARK=1,5,15` sets for how many seconds.
#[test]
fn a_gateway_serves_again_after_schedulers_were_dark() {
    let spans = env::var("COMFREYMILL_DARK").unwrap_or_else(|_| "1".to_owned());
    let (bed, gateway) = start();
    for span in spans.split(',').map(|span| span.parse().expect("a number of seconds")) {
        let span = Duration::from_secs(span);
        let leader = bed.wait_for_leader();
        bed.signal(leader, Signal::SIGSTOP);
        let began = Instant::now();
        wait_until_served(&bed, gateway);
        let served = began.elapsed();
        thread::sleep(span.saturating_sub(served));
        bed.signal(leader, Signal::SIGCONT);
        let began = Instant::now();
        bed.wait("five live voters", || bed.count_running_voters() == VOTERS);
        let voters = began.elapsed();
        wait_until_served(&bed, gateway);
        eprintln!(
            "dark: leader for {span:?}: served after {served:.2?}, a voter after {voters:.2?}"
        );

        (0..VOTERS).for_each(|member| bed.signal(member, Signal::SIGSTOP));
        thread::sleep(span);
        (0..VOTERS).for_each(|member| bed.signal(member, Signal::SIGCONT));
        let began = Instant::now();
        wait_until_served(&bed, gateway);
        eprintln!("dark: all for {span:?}: served after {:.2?}", began.elapsed());
    }
}

/// A machine that accepts connections and is silent, in the place of a scheduler, does not hold up a
/// gateway that starts, nor the next leader.
#[test]
fn a_silent_machine_does_not_hold_up_a_gateway() {
    let (mut bed, _) = start();
    let leader = bed.wait_for_leader();
    let silent = (0..VOTERS).find(|member| *member != leader).expect("a follower");
    bed.kill(silent);
    let address = SocketAddr::from((bed.address(silent), GroupBed::PEERS_PORT));
    let listener = TcpListener::bind(address).expect("the port is free");
    thread::spawn(move || {
        let mut accepted = Vec::new();
        accepted.extend(listener.incoming());
    });
    let gateway = bed.add_gateway();
    let began = Instant::now();
    wait_until_served(&bed, gateway);
    eprintln!("dark: a gateway serves after {:.2?} beside a silent machine", began.elapsed());
    bed.signal(leader, Signal::SIGTERM);
    let began = Instant::now();
    bed.wait("the next leader", || bed.leader().is_some_and(|next| next != leader));
    wait_until_served(&bed, gateway);
    eprintln!("dark: served by the next leader after {:.2?}", began.elapsed());
}

/// Peers that lost power during the handshake kept all others out for three seconds.
#[test]
fn peers_that_are_silent_in_the_handshake_keep_nobody_out() {
    let bed = GroupBed::start(3);
    let member = bed.wait_for_leader();
    let address = SocketAddr::from((bed.address(member), GroupBed::PEERS_PORT));
    let (stop, stopped) = mpsc::channel::<()>();
    // Each silent peer comes back when its connection is closed, as one that loses power again would.
    let peers = thread::spawn(move || {
        let mut streams: Vec<TcpStream> = Vec::new();
        while stopped.try_recv() == Err(mpsc::TryRecvError::Empty) {
            streams.retain(is_open);
            while streams.len() < SILENT_PEERS {
                let stream = TcpStream::connect(address).expect("the scheduler listens");
                stream.set_nonblocking(true).expect("a socket");
                streams.push(stream);
            }
            thread::sleep(Duration::from_millis(100));
        }
    });
    thread::sleep(Duration::from_millis(500));
    Session::connect(bed.address(member), GroupBed::PEERS_PORT, GroupBed::KEY);
    drop(stop);
    peers.join().expect("the peers end");
}

/// Starts five schedulers and a gateway that serves.
fn start() -> (GroupBed, SocketAddr) {
    let mut bed = GroupBed::empty(VOTERS, "");
    for _ in 0..VOTERS {
        bed.add();
    }
    bed.wait("five voters", || bed.count_running_voters() == VOTERS);
    let gateway = bed.add_gateway();
    bed.wait("routes", || {
        bed.leader().is_some_and(|leader| standin::put_routes(bed.control(leader), 1, "jobs"))
    });
    wait_until_served(&bed, gateway);
    (bed, gateway)
}

fn wait_until_served(bed: &GroupBed, gateway: SocketAddr) {
    let caller = standin::Caller::new(gateway);
    bed.wait("the gateway to serve", || caller.count_waiting("/jobs/") == Some(200));
}

fn is_open(stream: &TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(bytes) => bytes > 0,
        Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
    }
}
