use std::io::{self, BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::message;

/// Status and body of a response.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: String,
}

/// Sends a request on a new connection and waits for its response, for at most `limit` each.
pub(crate) fn call(
    address: SocketAddr,
    (method, path): (&str, &str),
    headers: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Reply> {
    let stream = send_only(address, (method, path), headers, body, limit)?;
    stream.set_read_timeout(Some(limit))?;
    let parts = message::read_parts(&mut BufReader::new(stream))?;
    let (line, _, body) = parts.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
    Ok(Reply { status: status.ok_or(io::ErrorKind::InvalidData)?, body })
}

/// Sends a request on a new connection and returns the connection.
pub(crate) fn send_only(
    address: SocketAddr,
    (method, path): (&str, &str),
    headers: &str,
    body: &str,
    limit: Duration,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\n{headers}content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )?;
    stream.flush()?;
    Ok(stream)
}
