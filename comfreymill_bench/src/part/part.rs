use std::fmt;
use std::path::Path;
use std::str;

use crate::batch;
use crate::decisions;
use crate::error::BenchError;
use crate::figure::Figure;
use crate::fleet;
use crate::route;
use crate::state;

/// Part of the benchmark that can be run separately.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// Memory, snapshots and log records of the replicated state.
    Ledger,
    /// Sizes of messages.
    Messages,
    /// Processing time of the leader's granter.
    Granter,
    /// Processor time and memory of batch decisions.
    BatchCost,
    /// Time of the placements of a scheduler that leads.
    Decisions,
    /// Simulated results of the batch policies.
    BatchPolicy,
    /// Simulated results of the routing policies, and the cost of their decisions.
    Route,
    /// Time from the kill of a leader to the next accepted write.
    Failover,
    /// Time from the acceptance of a document until it is in force.
    Configuration,
    /// Processor time, memory and traffic of processes without load.
    Idle,
    /// The same as [`Self::Idle`] as the fleet grows to the target size, and the failover time.
    Growth,
    /// The same as [`Self::Idle`] while tasks start.
    Starts,
    /// Prompt requests through an entry and directly to an executor.
    Prompt,
}

/// Error for a text that is not the name of a part.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is not a part: write one of {}", names())]
pub struct ParsePartError {
    text: String,
}

const FLEET_SIZES: [usize; 4] = [100, 455, 910, 4_000];
const DECISION_FLEET_SIZES: [u32; 4] = [66, 490, 890, 2_000];

impl Part {
    /// All parts, in the order in which they run.
    pub const ALL: [Self; 13] = [
        Self::Ledger,
        Self::Messages,
        Self::Granter,
        Self::BatchCost,
        Self::Decisions,
        Self::BatchPolicy,
        Self::Route,
        Self::Failover,
        Self::Configuration,
        Self::Idle,
        Self::Growth,
        Self::Starts,
        Self::Prompt,
    ];

    /// Runs the part. Parts that need processes start them from `binary`.
    ///
    /// # Errors
    ///
    /// A process could not be started, or did not behave as the benchmark requires.
    pub fn run(self, binary: &Path, seed: u64) -> Result<Vec<Figure>, BenchError> {
        match self {
            Self::Messages => Ok(state::message_slopes(seed)),
            Self::Ledger => state::ledger_slopes(seed),
            Self::Granter => Ok(state::granter_slopes(seed)),
            Self::BatchCost => {
                Ok(FLEET_SIZES.into_iter().flat_map(|workers| batch::cost(workers, seed)).collect())
            }
            Self::Decisions => Ok(DECISION_FLEET_SIZES
                .into_iter()
                .flat_map(|workers| decisions::cost(workers, seed))
                .collect()),
            Self::BatchPolicy => Ok(batch::policy(batch::Site::Trust, seed)),
            Self::Route => {
                let mut figures = route::measure(&route::POLICIES, seed);
                figures.extend(route::measure_decision_cost(seed));
                Ok(figures)
            }
            Self::Failover => fleet::failover(binary, seed),
            Self::Configuration => fleet::configuration(binary, seed),
            Self::Idle => fleet::idle(binary, seed),
            Self::Growth => fleet::growth(binary, seed),
            Self::Starts => fleet::starts(binary, seed),
            Self::Prompt => fleet::prompt(binary, seed),
        }
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Messages => "messages",
            Self::Ledger => "ledger",
            Self::Granter => "granter",
            Self::BatchCost => "batch-cost",
            Self::Decisions => "decisions",
            Self::BatchPolicy => "batch-policy",
            Self::Route => "route",
            Self::Failover => "failover",
            Self::Configuration => "configuration",
            Self::Idle => "idle",
            Self::Growth => "growth",
            Self::Starts => "starts",
            Self::Prompt => "prompt",
        })
    }
}

impl str::FromStr for Part {
    type Err = ParsePartError;

    fn from_str(text: &str) -> Result<Self, ParsePartError> {
        let found = Self::ALL.into_iter().find(|part| part.to_string() == text);
        found.ok_or_else(|| ParsePartError { text: text.to_owned() })
    }
}

/// Returns the names of all parts for the error text.
fn names() -> String {
    Part::ALL.map(|part| part.to_string()).join(", ")
}
