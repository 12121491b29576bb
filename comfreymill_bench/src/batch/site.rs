use std::fmt;
use std::str;

use comfreymill_types::size;

const GB: u64 = 1_000_000_000;

/// Fleet size and policy weights of a customer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Site {
    /// Today's fleet of the Trust, whose weights favour tail latency.
    Trust,
    /// Today's fleet of Licenta Clar, whose weights favour throughput and few evictions.
    Licenta,
    /// Fleet of the target size, with the Trust's weights.
    Target,
}

/// Error for a text that is not the name of a site.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a site: write trust, licenta or target")]
pub struct ParseSiteError {
    text: String,
}

impl Site {
    /// All sites.
    pub const ALL: [Self; 3] = [Self::Trust, Self::Licenta, Self::Target];

    pub(super) fn workers(self) -> usize {
        match self {
            Self::Trust => 65,
            Self::Licenta => 50,
            Self::Target => 910,
        }
    }

    pub(super) fn capacity(self) -> size::Resources {
        match self {
            Self::Trust => size::Resources::new(16_000, 60 * GB, 0),
            Self::Licenta | Self::Target => size::Resources::new(32_000, 125 * GB, 0),
        }
    }

    pub(super) fn executor(self) -> size::Resources {
        match self {
            Self::Trust => size::Resources::new(5_000, 16 * GB, 0),
            Self::Licenta | Self::Target => size::Resources::new(10_000, 32 * GB, 0),
        }
    }

    pub(super) fn rack_size(self) -> usize {
        match self {
            Self::Trust => 11,
            Self::Licenta => 8,
            Self::Target => 20,
        }
    }

    /// Returns the number of batch tasks, including running ones, that are kept submitted.
    pub(super) fn backlog(self) -> usize {
        match self {
            Self::Trust => 900,
            Self::Licenta => 1_200,
            Self::Target => 17_600,
        }
    }

    pub(super) fn weights(self) -> &'static str {
        match self {
            Self::Trust | Self::Target => "{tail_latency: 8.0, throughput: 1.0, evictions: 1.0}",
            Self::Licenta => "{tail_latency: 1.0, throughput: 4.0, evictions: 4.0}",
        }
    }

    pub(super) fn seconds(self) -> u64 {
        match self {
            Self::Trust | Self::Licenta => 1_500,
            Self::Target => 600,
        }
    }

    /// Returns the mean number of seconds between losses of a worker in the whole fleet.
    pub(super) fn seconds_per_loss(self) -> f64 {
        let target_workers = 910.0;
        let target_seconds = 60.0;
        target_seconds * target_workers / self.workers() as f64
    }
}

impl fmt::Display for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Trust => "trust",
            Self::Licenta => "licenta",
            Self::Target => "target",
        })
    }
}

impl str::FromStr for Site {
    type Err = ParseSiteError;

    fn from_str(text: &str) -> Result<Self, ParseSiteError> {
        Self::ALL
            .into_iter()
            .find(|site| site.to_string() == text)
            .ok_or_else(|| ParseSiteError { text: text.to_owned() })
    }
}
