use std::fmt;
use std::str;

use crate::decimal;

const UNITS: [(&str, u64); 9] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("TiB", 1 << 40),
    ("KB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("TB", 1_000_000_000_000),
    ("B", 1),
];

/// Number of bytes, formatted and parsed with a unit, such as `64KiB` or `60GB`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ByteSize(u64);

/// Error returned when a string is not a byte size.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error(
    "`{text}` is not a size: write a number with a unit of B, KB, MB, GB, TB, KiB, MiB, GiB, TiB"
)]
pub struct ParseByteSizeError {
    text: String,
}

impl ByteSize {
    /// Creates a size from a number of bytes.
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// Returns the number of bytes.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |unit: &&(&str, u64)| self.0 > 0 && self.0.is_multiple_of(unit.1);
        let (name, bytes) =
            UNITS.iter().filter(divides).max_by_key(|unit| unit.1).unwrap_or(&("B", 1));
        write!(f, "{}{name}", self.0 / bytes)
    }
}

impl str::FromStr for ByteSize {
    type Err = ParseByteSizeError;

    fn from_str(text: &str) -> Result<Self, ParseByteSizeError> {
        let error = || ParseByteSizeError { text: text.to_owned() };
        let (name, bytes) = UNITS.iter().find(|unit| text.ends_with(unit.0)).ok_or_else(error)?;
        let number = &text[..text.len() - name.len()];
        decimal::parse_scaled(number, *bytes).map(Self).ok_or_else(error)
    }
}

impl TryFrom<String> for ByteSize {
    type Error = ParseByteSizeError;

    fn try_from(text: String) -> Result<Self, ParseByteSizeError> {
        text.parse()
    }
}

impl From<ByteSize> for String {
    fn from(size: ByteSize) -> Self {
        size.to_string()
    }
}
