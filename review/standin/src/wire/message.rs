use std::io::{self, BufRead, Write};

use crate::json;

/// Request that a server has read.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) expected_instance: Option<String>,
    pub(crate) body: json::Value,
}

/// Start line, headers and body of a message.
pub(super) type Parts = (String, Vec<(String, String)>, String);

/// Reads the next request of a connection; returns `None` if the peer has closed it.
pub(crate) fn read_request<R>(reader: &mut R) -> io::Result<Option<Request>>
where
    R: BufRead,
{
    let Some((line, headers, body)) = read_parts(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let mut word = || words.next().unwrap_or_default().to_owned();
    let (method, path) = (word(), word());
    let instance = headers.into_iter().find(|(name, _)| name == "x-expect-instance");
    let expected_instance = instance.map(|(_, value)| value);
    let body = json::parse(&body).unwrap_or(json::Value::Null);
    Ok(Some(Request { method, path, expected_instance, body }))
}

/// Writes a response with a JSON body.
pub(crate) fn write_response<W>(writer: &mut W, status: u16, body: &str) -> io::Result<()>
where
    W: Write,
{
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    writer.write_all(text.as_bytes())?;
    writer.flush()
}

/// Reads a message with a length; returns `None` at the end of the connection.
pub(super) fn read_parts<R>(reader: &mut R) -> io::Result<Option<Parts>>
where
    R: BufRead,
{
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let header = header.trim_end();
        if header.is_empty() {
            break;
        }
        if let Some((name, value)) = header.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some((line.trim_end().to_owned(), headers, body)))
}
