use std::io::{Read as _, Write as _};
use std::net;
use std::sync::mpsc;
use std::thread;

/// Stand-in for the operators' listener of one node, which treats every request alike.
pub(super) struct Node {
    address: net::SocketAddr,
    requests: mpsc::Receiver<String>,
}

/// What a node does with a request once it has read it.
#[derive(Clone, Copy)]
pub(super) enum Behaviour {
    /// Answers with a status and a JSON body.
    Answer(u16, &'static str),
    /// Closes the connection without an answer.
    Close,
    /// Announces a longer body than it sends.
    CutShort,
}

impl Node {
    /// Starts a node that treats every request this way until the test process ends.
    pub(super) fn start(behaviour: Behaviour) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("bound");
        let address = listener.local_addr().expect("address");
        let (tx, requests) = mpsc::channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                // Recorded before the answer is written, so that the test finds the request once the
                // client has ended. The receiver may already be dropped.
                let _ = tx.send(read_request(&mut stream));
                answer(&mut stream, behaviour);
            }
        });
        Self { address, requests }
    }

    pub(super) fn address(&self) -> String {
        self.address.to_string()
    }

    /// Returns the requests read since the last call.
    pub(super) fn requests(&self) -> Vec<String> {
        self.requests.try_iter().collect()
    }
}

fn answer(stream: &mut net::TcpStream, behaviour: Behaviour) {
    let head = |status: u16, length: usize| {
        format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
        )
    };
    let answer = match behaviour {
        Behaviour::Answer(status, body) => head(status, body.len()) + body,
        Behaviour::Close => String::new(),
        Behaviour::CutShort => head(200, 100) + "{",
    };
    // The client may have given up.
    let _ = stream.write_all(answer.as_bytes());
}

fn read_request(stream: &mut net::TcpStream) -> String {
    let mut data = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&data).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= body_length(head)
        {
            return text;
        }
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return text,
            Ok(read) => data.extend_from_slice(&buf[..read]),
        }
    }
}

fn body_length(head: &str) -> usize {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    lengths.map(|(_, value)| value.trim().parse().expect("a length")).next().unwrap_or(0)
}

/// Returns the value of a header of a request.
pub(super) fn header(request: &str, name: &str) -> Option<String> {
    let (head, _) = request.split_once("\r\n\r\n")?;
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim().to_owned())
}
