use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const POLL: Duration = Duration::from_millis(10);
const BUFFER_BYTES: usize = 16 << 10;

/// Way from one process to another that can be cut without a word.
#[derive(Debug)]
pub(super) struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    is_cut: AtomicBool,
    is_over: AtomicBool,
    there_bytes: AtomicU64,
    back_bytes: AtomicU64,
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

    /// Bytes that went to the target and came back.
    pub(super) fn get_bytes(&self) -> (u64, u64) {
        let load = |bytes: &AtomicU64| bytes.load(Ordering::Relaxed);
        (load(&self.state.there_bytes), load(&self.state.back_bytes))
    }

    /// Lets bytes vanish, or flow again; connections stay open.
    pub(super) fn set_cut(&self, is_cut: bool) {
        self.state.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.is_over.store(true, Ordering::Relaxed);
    }
}

impl State {
    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Relaxed)
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<State>) {
    while !state.is_over() {
        match listener.accept() {
            Ok((stream, _)) => {
                let shared = Arc::clone(state);
                thread::spawn(move || join(stream, target, &shared));
            }
            Err(_) => thread::sleep(POLL),
        }
    }
}

fn join(near: TcpStream, target: SocketAddr, state: &Arc<State>) {
    while state.is_cut() && !state.is_over() {
        thread::sleep(POLL);
    }
    let Ok(far) = TcpStream::connect(target) else { return };
    let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else { return };
    let shared = Arc::clone(state);
    thread::spawn(move || copy(near_too, far_too, &shared, &shared.there_bytes));
    copy(far, near, state, &state.back_bytes);
}

/// Copies bytes until one side ends; a cut only holds them up.
fn copy(mut from: TcpStream, mut to: TcpStream, state: &State, bytes: &AtomicU64) {
    let mut buf = vec![0; BUFFER_BYTES];
    // A socket without a timeout would keep its thread for ever; the ends are found by reading.
    if from.set_read_timeout(Some(POLL)).is_err() || from.set_nonblocking(false).is_err() {
        return;
    }
    while !state.is_over() {
        if state.is_cut() {
            thread::sleep(POLL);
            continue;
        }
        match from.read(&mut buf) {
            Ok(0) => break,
            Ok(count) => {
                bytes.fetch_add(count as u64, Ordering::Relaxed);
                while state.is_cut() && !state.is_over() {
                    thread::sleep(POLL);
                }
                if to.write_all(&buf[..count]).is_err() {
                    break;
                }
            }
            Err(error) if is_pause(&error) => {}
            Err(_) => break,
        }
    }
    to.shutdown(std::net::Shutdown::Both).ok();
    from.shutdown(std::net::Shutdown::Both).ok();
}

fn is_pause(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}
