use bytes::Bytes;
use comfreymill_group::{entry, id};

/// Replicated state machine that hashes all entries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Machine {
    pub(crate) index: id::Index,
    pub(crate) hash: u64,
}

impl Machine {
    /// Applies the next entry.
    pub(crate) fn apply(&mut self, entry: &entry::Entry) {
        assert_eq!(entry.index, self.index.next(), "entry applied out of order");
        self.index = entry.index;
        self.hash = mix(self.hash, payload_hash(entry));
    }

    /// Encodes the state.
    pub(crate) fn to_bytes(self) -> Bytes {
        let mut buf = self.index.get().to_le_bytes().to_vec();
        buf.extend(self.hash.to_le_bytes());
        buf.resize(200, 7);
        buf.into()
    }

    /// Decodes the state from `buf`.
    pub(crate) fn from_bytes(buf: &[u8]) -> Self {
        let number = |start: usize| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&buf[start..start + 8]);
            u64::from_le_bytes(bytes)
        };
        Self { index: id::Index::new(number(0)), hash: number(8) }
    }
}

/// Returns the hash of an entry's payload, without its index and term.
pub(crate) fn payload_hash(entry: &entry::Entry) -> u64 {
    match &entry.payload {
        entry::Payload::Noop => 1,
        entry::Payload::Data(data) => data.iter().fold(2, |hash, byte| mix(hash, u64::from(*byte))),
        entry::Payload::Membership(members) => members.iter().fold(3, |hash, (voter, member)| {
            let kind = u64::from(member.is_voter());
            mix(mix(mix(hash, voter.get()), member.disk.get()), kind)
        }),
    }
}

fn mix(hash: u64, value: u64) -> u64 {
    (hash ^ value).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(23)
}
