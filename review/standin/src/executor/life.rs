use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::gangs::Gangs;
use super::state::State;
use crate::record;
use crate::wire;

/// Interval between checks for ends, new connections and the end of the incarnation.
const CHECK_PERIOD: Duration = Duration::from_millis(3);

/// One incarnation of an executor.
#[derive(Debug)]
pub(super) struct Life {
    id: String,
    pub(super) born: u64,
    pub(super) state: Mutex<State>,
    changed: Condvar,
    is_over: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

impl Life {
    /// Starts an incarnation that accepts orders at `address`.
    pub(super) fn start(
        id: &str,
        address: SocketAddr,
        record: record::Record,
        gangs: Gangs,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let life = Arc::new(Self {
            id: id.to_owned(),
            born: born.as_millis() as u64,
            state: Mutex::new(State::new(id, record, gangs)),
            changed: Condvar::new(),
            is_over: AtomicBool::new(false),
            streams: Mutex::new(Vec::new()),
        });
        let accepting = Arc::clone(&life);
        thread::spawn(move || accepting.accept(&listener));
        let ticking = Arc::clone(&life);
        thread::spawn(move || ticking.tick());
        Ok(life)
    }

    pub(super) fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Ends the incarnation and its connections; all runs end with it.
    pub(super) fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        self.state.lock().expect("no thread panics").crash();
        for stream in self.streams.lock().expect("no thread panics").drain(..) {
            // The peer may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The listener is closed by then.
        thread::sleep(CHECK_PERIOD * 4);
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while !self.is_over() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(CHECK_PERIOD);
                continue;
            };
            let life = Arc::clone(&self);
            thread::spawn(move || life.serve(stream));
        }
    }

    fn tick(&self) {
        while !self.is_over() {
            if self.state.lock().expect("no thread panics").advance() {
                self.changed.notify_all();
            }
            thread::sleep(CHECK_PERIOD);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(mut writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        self.streams.lock().expect("no thread panics").push(kept);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = wire::read_request(&mut reader) {
            if self.is_over() {
                return;
            }
            let (status, body) = self.answer(&request);
            if self.is_over() || wire::write_response(&mut writer, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &wire::Request) -> (u16, String) {
        if request.expected_instance.as_ref().is_some_and(|expected| *expected != self.id) {
            return (421, "{}".to_owned());
        }
        if request.method == "GET" {
            return (200, "{}".to_owned());
        }
        let mut state = self.state.lock().expect("no thread panics");
        let (status, reason) = match request.path.as_str() {
            "/api/run-start" => state.start(&request.body),
            "/api/run-stop" => state.stop(&request.body),
            "/api/pace" => (200, None),
            "/api/hold" => {
                drop(state);
                return self.hold(request);
            }
            _ => (404, None),
        };
        let reason = reason.map_or(String::new(), |reason| format!(",\"reason\":\"{reason}\""));
        (status, format!("{{\"clock_ms\":{}{reason}}}", state.clock_ms()))
    }

    fn hold(&self, request: &wire::Request) -> (u16, String) {
        let wait = Duration::from_millis(request.body.number("wait_ms").unwrap_or(0).min(2_000));
        let asked_at = Instant::now();
        let mut state = self.state.lock().expect("no thread panics");
        if let Some((status, reason)) = state.hold(&request.body) {
            let reason = reason.unwrap_or_default();
            let clock_ms = state.clock_ms();
            return (status, format!("{{\"clock_ms\":{clock_ms},\"reason\":\"{reason}\"}}"));
        }
        while !state.has_ends() && !self.is_over() {
            let left = wait.saturating_sub(asked_at.elapsed());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left.min(CHECK_PERIOD * 10));
            state = waited.expect("no thread panics").0;
        }
        let (clock_ms, born, lists) = (state.clock_ms(), self.born, state.lists());
        (200, format!("{{\"clock_ms\":{clock_ms},\"born\":{born},{lists}}}"))
    }
}
