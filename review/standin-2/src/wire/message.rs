use std::io::{self, BufRead as _, BufReader, Read as _, Write as _};
use std::net::TcpStream;

use crate::json::{self, Value};

/// Request that a server has read.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) path: String,
    /// Incarnation that the request is meant for; empty if it names none.
    pub(crate) instance: String,
    pub(crate) body: Value,
}

/// Reads the next request of a connection; returns `None` if the peer has closed it.
pub(crate) fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let (start, instance, body) = read_message(reader)?;
    let path = start.split(' ').nth(1).map(str::to_owned);
    Ok(path.map(|path| Request { path, instance, body: json::parse(&body) }))
}

/// Writes a response with a JSON body.
pub(crate) fn answer(stream: &mut TcpStream, status: u16, body: &Value) -> io::Result<()> {
    let body = body.to_string();
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} Response\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(format!("{head}{body}").as_bytes())
}

/// Reads the first line, the named incarnation and the body of a message; all are empty at the end of
/// the connection.
pub(super) fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> io::Result<(String, String, Vec<u8>)> {
    let mut start = String::new();
    reader.read_line(&mut start)?;
    let (mut length, mut instance) = (0, String::new());
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or_default();
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().map_err(io::Error::other)?;
        }
        if name.eq_ignore_ascii_case("x-expect-instance") {
            value.trim().clone_into(&mut instance);
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((start, instance, body))
}
