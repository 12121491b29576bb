use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::{TcpListener, TcpStream};

/// How a fake executor handles requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Behaviour {
    /// Answers with the request's body after a delay.
    EchoAfter(Duration),
    /// Closes the connection without an answer.
    Close,
    /// Sends half of its answer and closes.
    CutShort,
    /// Refuses the request, stating that it was not run.
    RefuseAsNotRun,
    /// Answers the first request of each connection and leaves later ones unanswered.
    SilentAfterFirst,
    /// Sends more bytes than the stated content length and keeps the connection open.
    Overlong,
}

pub(super) const ECHO: Behaviour = Behaviour::EchoAfter(Duration::ZERO);

/// Fake executor on a real socket that records the bodies of the requests it started to run.
#[derive(Clone, Debug)]
pub(super) struct Executor {
    pub(super) address: SocketAddr,
    bodies: Rc<RefCell<Vec<String>>>,
}

impl Executor {
    pub(super) fn start(behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        let this = Self { address, bodies: Rc::default() };
        let bodies = this.bodies.clone();
        monoio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                monoio::spawn(serve(stream, behaviour, bodies.clone()));
            }
        });
        this
    }

    /// Returns the bodies of the requests it started to run.
    pub(super) fn started_bodies(&self) -> Vec<String> {
        self.bodies.borrow().clone()
    }
}

/// Returns an address at which nothing listens.
///
/// Port 1 is outside the range from which the system assigns ports to other tests.
pub(super) fn unreachable_address() -> SocketAddr {
    SocketAddr::from(([127, 99, 99, 99], 1))
}

async fn serve(mut stream: TcpStream, behaviour: Behaviour, bodies: Rc<RefCell<Vec<String>>>) {
    let mut served = 0;
    while let Some((path, body)) = read_request(&mut stream).await {
        if path == "/healthz" {
            write(&mut stream, answer("200 OK", "", "ok")).await;
            continue;
        }
        if behaviour == Behaviour::RefuseAsNotRun {
            let refusal = answer("503 Busy", "Comfreymill-Run: not-run\r\n", "");
            write(&mut stream, refusal).await;
            continue;
        }
        bodies.borrow_mut().push(body.clone());
        served += 1;
        match behaviour {
            Behaviour::EchoAfter(span) => {
                monoio::time::sleep(span).await;
                write(&mut stream, answer("200 OK", "X-Kind: echo\r\n", &body)).await;
            }
            Behaviour::CutShort => {
                write(&mut stream, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf".into())
                    .await;
                return;
            }
            Behaviour::SilentAfterFirst if served == 1 => {
                // Long enough for a second connection to be opened while this one is busy.
                monoio::time::sleep(Duration::from_millis(50)).await;
                write(&mut stream, answer("200 OK", "", &body)).await;
            }
            Behaviour::Overlong => {
                let text = format!("{}surplus", answer("200 OK", "", &body));
                write(&mut stream, text).await;
            }
            Behaviour::SilentAfterFirst => {}
            Behaviour::Close | Behaviour::RefuseAsNotRun => return,
        }
    }
}

fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

async fn write(stream: &mut TcpStream, text: String) {
    stream.write_all(text.into_bytes()).await.0.ok();
}

/// Reads the path and body of the next request on a connection.
async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(": ")?;
                name.eq_ignore_ascii_case("content-length").then(|| value.parse().ok())?
            });
            if body.len() >= length.unwrap_or(0) {
                let path = head.split(' ').nth(1).unwrap_or_default();
                return Some((path.to_owned(), body.to_owned()));
            }
        }
        let (read, part) = stream.read(vec![0; 4_096]).await;
        let read = read.ok().filter(|read| *read > 0)?;
        bytes.extend_from_slice(&part[..read]);
    }
}
