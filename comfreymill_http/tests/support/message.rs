use quickcheck::{Arbitrary, Gen};

const MAX_BODY_BYTES: usize = 40;

/// A body with its framing on the wire.
#[derive(Clone, Debug)]
pub(crate) struct Body {
    pub(crate) data: Vec<u8>,
    /// Chunk sizes; empty for a body sent with `Content-Length`.
    pub(crate) chunks: Vec<usize>,
}

impl Body {
    /// Encodes the framing headers, the empty line and the body.
    pub(crate) fn to_wire(&self) -> Vec<u8> {
        if self.chunks.is_empty() {
            let mut wire = format!("content-length: {}\r\n\r\n", self.data.len()).into_bytes();
            wire.extend_from_slice(&self.data);
            return wire;
        }
        let mut wire = b"transfer-encoding: chunked\r\n\r\n".to_vec();
        let mut rest = self.data.as_slice();
        for &size in &self.chunks {
            let (chunk, after) = rest.split_at(size.min(rest.len()));
            put_chunk(&mut wire, chunk);
            rest = after;
        }
        put_chunk(&mut wire, rest);
        wire.extend_from_slice(b"0\r\n\r\n");
        wire
    }
}

fn put_chunk(wire: &mut Vec<u8>, data: &[u8]) {
    if !data.is_empty() {
        wire.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        wire.extend_from_slice(data);
        wire.extend_from_slice(b"\r\n");
    }
}

impl Arbitrary for Body {
    fn arbitrary(g: &mut Gen) -> Self {
        let length = usize::arbitrary(g) % MAX_BODY_BYTES;
        let data = (0..length).map(|_| u8::arbitrary(g)).collect();
        let count = usize::arbitrary(g) % 4;
        let chunks = (0..count).map(|_| 1 + usize::arbitrary(g) % MAX_BODY_BYTES).collect();
        Self { data, chunks }
    }
}

/// Valid pipelined requests of one connection.
#[derive(Clone, Debug)]
pub(crate) struct Pipeline {
    pub(crate) bodies: Vec<Body>,
}

impl Pipeline {
    pub(crate) fn to_wire(&self) -> Vec<u8> {
        let mut wire = Vec::new();
        for (index, body) in self.bodies.iter().enumerate() {
            let head = format!("POST /{index} HTTP/1.1\r\nhost: h:1\r\nx-a:  b \r\n");
            wire.extend_from_slice(head.as_bytes());
            wire.extend_from_slice(&body.to_wire());
        }
        wire
    }
}

impl Arbitrary for Pipeline {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 1 + usize::arbitrary(g) % 3;
        Self { bodies: (0..count).map(|_| Body::arbitrary(g)).collect() }
    }
}

#[derive(Clone, Copy, Debug)]
enum Edit {
    Replace,
    Insert,
    Remove,
    Repeat,
    Cut,
}

/// Random mutations of a message.
#[derive(Clone, Debug)]
pub(crate) struct Edits {
    edits: Vec<(Edit, usize, u8, usize)>,
}

impl Edits {
    pub(crate) fn apply(&self, mut wire: Vec<u8>) -> Vec<u8> {
        for &(edit, position, byte, span) in &self.edits {
            if wire.is_empty() {
                break;
            }
            let at = position % wire.len();
            let end = (at + span).min(wire.len());
            match edit {
                Edit::Replace => wire[at] = byte,
                Edit::Insert => wire.insert(at, byte),
                Edit::Remove => drop(wire.drain(at..end)),
                Edit::Repeat => {
                    let part = wire[at..end].to_vec();
                    wire.splice(at..at, part);
                }
                Edit::Cut => wire.truncate(at),
            }
        }
        wire
    }
}

impl Arbitrary for Edits {
    fn arbitrary(g: &mut Gen) -> Self {
        // Bytes with a meaning in HTTP syntax are chosen more often than others.
        let significant = b"\r\n\0 :;,0159afx-+\t/.";
        let kinds = [
            Edit::Replace,
            Edit::Replace,
            Edit::Insert,
            Edit::Insert,
            Edit::Remove,
            Edit::Repeat,
            Edit::Cut,
        ];
        let count = 1 + usize::arbitrary(g) % 3;
        let edit = |g: &mut Gen| {
            let kind = *g.choose(&kinds).expect("kinds");
            let any = u8::arbitrary(g);
            let byte =
                if bool::arbitrary(g) { any } else { *g.choose(significant).expect("bytes") };
            (kind, usize::arbitrary(g), byte, 1 + usize::arbitrary(g) % 30)
        };
        Self { edits: (0..count).map(|_| edit(g)).collect() }
    }
}
