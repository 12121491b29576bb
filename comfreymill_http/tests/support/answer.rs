/// An answer as it was on the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    /// Value of a header, by its lower-case name.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Kind of the error, from its header.
    pub(crate) fn kind(&self) -> Option<&str> {
        self.header("comfreymill-error")
    }
}

/// Reads every answer of a connection that has ended, with a parser of its own.
pub(crate) fn parse_answers(mut bytes: &[u8]) -> Vec<Answer> {
    let mut answers = Vec::new();
    while !bytes.is_empty() {
        let (answer, rest) = parse_answer(bytes);
        answers.push(answer);
        bytes = rest;
    }
    answers
}

fn parse_answer(bytes: &[u8]) -> (Answer, &[u8]) {
    let shown = String::from_utf8_lossy(bytes).into_owned();
    let end = find(bytes, b"\r\n\r\n").unwrap_or_else(|| panic!("no end of the head: {shown:?}"));
    let head = std::str::from_utf8(&bytes[..end]).expect("text");
    let mut lines = head.split("\r\n");
    let start = lines.next().expect("status line");
    let status = start["HTTP/1.1 ".len()..][..3].parse().expect("status");
    let headers = lines.map(split_header).collect::<Vec<_>>();
    let mut answer = Answer { status, headers, body: Vec::new() };
    let rest = &bytes[end + 4..];
    let rest = if answer.header("transfer-encoding") == Some("chunked") {
        parse_chunks(rest, &mut answer.body)
    } else {
        let length =
            answer.header("content-length").map_or(0, |text| text.parse().expect("length"));
        answer.body.extend_from_slice(&rest[..length]);
        &rest[length..]
    };
    (answer, rest)
}

fn split_header(line: &str) -> (String, String) {
    let (name, value) = line.split_once(": ").expect("header");
    (name.to_ascii_lowercase(), value.to_owned())
}

fn parse_chunks<'b>(mut bytes: &'b [u8], body: &mut Vec<u8>) -> &'b [u8] {
    loop {
        let end = find(bytes, b"\r\n").expect("chunk size");
        let digits = std::str::from_utf8(&bytes[..end]).expect("digits");
        let size = usize::from_str_radix(digits, 16).expect("size");
        let data = &bytes[end + 2..];
        body.extend_from_slice(&data[..size]);
        assert_eq!(&data[size..size + 2], b"\r\n", "end of a chunk");
        bytes = &data[size + 2..];
        if size == 0 {
            return bytes;
        }
    }
}

fn find(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes.windows(needle.len()).position(|window| window == needle)
}
