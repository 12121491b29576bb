/// A response as parsed from the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Answer {
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
pub(crate) fn parse_answers(mut bytes: &[u8]) -> Vec<Answer> {
    let mut answers = Vec::new();
    while !bytes.is_empty() {
        let parsed = parse_answer(bytes);
        let (answer, rest) = parsed
            .unwrap_or_else(|| panic!("incomplete response: {:?}", String::from_utf8_lossy(bytes)));
        answers.push(answer);
        bytes = rest;
    }
    answers
}

/// Parses the complete responses and ignores an incomplete last one.
pub(crate) fn parse_whole_answers(mut bytes: &[u8]) -> Vec<Answer> {
    let mut answers = Vec::new();
    while let Some((answer, rest)) = parse_answer(bytes) {
        answers.push(answer);
        bytes = rest;
    }
    answers
}

/// Parses one response and returns it with the bytes after it, or `None` if it is incomplete.
fn parse_answer(bytes: &[u8]) -> Option<(Answer, &[u8])> {
    let end = find(bytes, b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..end]).expect("text");
    let mut lines = head.split("\r\n");
    let start = lines.next().expect("status line");
    let status = start["HTTP/1.1 ".len()..][..3].parse().expect("status");
    let headers = lines.map(split_header).collect::<Vec<_>>();
    let mut answer = Answer { status, headers, body: Vec::new() };
    let rest = &bytes[end + 4..];
    if answer.header("transfer-encoding") == Some("chunked") {
        let rest = parse_chunks(rest, &mut answer.body)?;
        return Some((answer, rest));
    }
    let length = answer.header("content-length").map_or(0, |text| text.parse().expect("length"));
    let (body, rest) = rest.split_at_checked(length)?;
    answer.body.extend_from_slice(body);
    Some((answer, rest))
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
