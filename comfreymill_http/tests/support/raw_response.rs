/// A response as parsed from the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RawResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl RawResponse {
    /// Returns the value of a header by its lower-case name.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the error kind from the `comfreymill-error` header.
    pub(crate) fn kind(&self) -> Option<&str> {
        self.header("comfreymill-error")
    }
}

/// Parses all responses of a closed connection, without the parser under test; panics if the last
/// one is incomplete.
pub(crate) fn parse_responses(mut bytes: &[u8]) -> Vec<RawResponse> {
    let mut responses = Vec::new();
    while !bytes.is_empty() {
        let parsed = parse_response(bytes);
        let (response, rest) = parsed
            .unwrap_or_else(|| panic!("incomplete response: {:?}", String::from_utf8_lossy(bytes)));
        responses.push(response);
        bytes = rest;
    }
    responses
}

/// Parses the complete responses and ignores an incomplete last one.
pub(crate) fn parse_complete_responses(mut bytes: &[u8]) -> Vec<RawResponse> {
    let mut responses = Vec::new();
    while let Some((response, rest)) = parse_response(bytes) {
        responses.push(response);
        bytes = rest;
    }
    responses
}

/// Parses one response and returns it with the bytes after it, or `None` if it is incomplete.
fn parse_response(bytes: &[u8]) -> Option<(RawResponse, &[u8])> {
    let end = find(bytes, b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).expect("text");
    let mut lines = head.split("\r\n");
    let start = lines.next().expect("status line");
    let status = start["HTTP/1.1 ".len()..][..3].parse().expect("status");
    let headers = lines.map(split_header).collect::<Vec<_>>();
    let mut response = RawResponse { status, headers, body: Vec::new() };
    let rest = &bytes[end + 4..];
    if response.header("transfer-encoding") == Some("chunked") {
        let rest = parse_chunks(rest, &mut response.body)?;
        return Some((response, rest));
    }
    let length = response.header("content-length").map_or(0, |text| text.parse().expect("length"));
    let (body, rest) = rest.split_at_checked(length)?;
    response.body.extend_from_slice(body);
    Some((response, rest))
}

fn split_header(line: &str) -> (String, String) {
    let (name, value) = line.split_once(": ").expect("header");
    (name.to_ascii_lowercase(), value.to_owned())
}

fn parse_chunks<'b>(mut bytes: &'b [u8], body: &mut Vec<u8>) -> Option<&'b [u8]> {
    loop {
        let end = find(bytes, b"\r\n")?;
        let digits = std::str::from_utf8(&bytes[..end]).expect("digits");
        let size = usize::from_str_radix(digits, 16).expect("size");
        let (data, rest) = bytes[end + 2..].split_at_checked(size)?;
        body.extend_from_slice(data);
        let (line_end, rest) = rest.split_at_checked(2)?;
        assert_eq!(line_end, b"\r\n", "end of a chunk");
        bytes = rest;
        if size == 0 {
            return Some(bytes);
        }
    }
}

fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes.windows(needle.len()).position(|window| window == needle)
}
