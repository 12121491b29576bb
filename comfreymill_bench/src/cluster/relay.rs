use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const POLL: Duration = Duration::from_millis(10);
const BUFFER_BYTES: usize = 16 << 10;

/// TCP relay from one process to another that can silently stop forwarding.
#[derive(Debug)]
pub(super) struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    is_cut: AtomicBool,
    is_stopped: AtomicBool,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl Relay {
    /// Starts a relay to `target`.
    pub(super) fn start(host: Ipv4Addr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((host, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || accept(&listener, target, &shared));
        Ok(Self { address, state })
    }

    pub(super) fn get_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the bytes sent to the target and received from it.
    pub(super) fn get_bytes(&self) -> (u64, u64) {
        let load = |bytes: &AtomicU64| bytes.load(Ordering::Relaxed);
        (load(&self.state.sent_bytes), load(&self.state.received_bytes))
    }

    /// Stops or resumes the forwarding of bytes. Connections stay open, and bytes are delayed
    /// rather than lost.
    pub(super) fn set_cut(&self, is_cut: bool) {
        self.state.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.is_stopped.store(true, Ordering::Relaxed);
    }
}

impl State {
    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Relaxed)
    }

    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<State>) {
    while !state.is_stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                let shared = Arc::clone(state);
                thread::spawn(move || forward(stream, target, &shared));
            }
            Err(_) => thread::sleep(POLL),
        }
    }
}

/// Connects to the target and copies bytes in both directions.
fn forward(near: TcpStream, target: SocketAddr, state: &Arc<State>) {
    while state.is_cut() && !state.is_stopped() {
        thread::sleep(POLL);
    }
    let Ok(far) = TcpStream::connect(target) else { return };
    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
    let shared = Arc::clone(state);
    thread::spawn(move || copy(near_copy, far_copy, &shared, &shared.sent_bytes));
    copy(far, near, state, &state.received_bytes);
}

/// Copies bytes until one side closes. A cut delays them and loses none.
fn copy(mut from: TcpStream, mut to: TcpStream, state: &State, bytes: &AtomicU64) {
    let mut buf = vec![0; BUFFER_BYTES];
    // Without a read timeout the thread could block forever, since only a read shows that the
    // other side has closed.
    if from.set_read_timeout(Some(POLL)).is_err() || from.set_nonblocking(false).is_err() {
        return;
    }
    while !state.is_stopped() {
        if state.is_cut() {
            thread::sleep(POLL);
            continue;
        }
        match from.read(&mut buf) {
            Ok(0) => break,
            Ok(count) => {
                bytes.fetch_add(count as u64, Ordering::Relaxed);
                while state.is_cut() && !state.is_stopped() {
                    thread::sleep(POLL);
                }
                if to.write_all(&buf[..count]).is_err() {
                    break;
                }
            }
            Err(error) if is_timeout(&error) => {}
            Err(_) => break,
        }
    }
    to.shutdown(std::net::Shutdown::Both).ok();
    from.shutdown(std::net::Shutdown::Both).ok();
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
