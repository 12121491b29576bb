use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::message;
use crate::json::{self, Value};

/// Response to a call.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

/// Sends a request on a new connection and returns the response, if it arrives within `timeout`.
pub(crate) fn call(
    address: SocketAddr,
    (method, path, host): (&str, &str, &str),
    body: &str,
    timeout: Duration,
) -> io::Result<Reply> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let (length, deadline) = (body.len(), timeout.as_millis());
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\nx-request-deadline: {deadline}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(format!("{head}{body}").as_bytes())?;
    let (start, _, body) = message::read_message(&mut BufReader::new(stream))?;
    let status = start.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no complete response"))?;
    Ok(Reply { status, body: json::parse(&body) })
}
