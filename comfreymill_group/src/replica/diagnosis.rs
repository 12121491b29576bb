use crate::id;
use crate::replica::ballot::Ballot;
use crate::replica::{LogBound, Refusal};
use comfreymill_types::time;
use std::collections::BTreeMap;

/// What a replica remembers for its log only; no decision depends on it.
#[derive(Debug)]
pub(super) struct Diagnosis {
    /// Votes that this replica asks for.
    pub(super) ballot: Option<Ballot>,
    pub(super) ballot_bound: LogBound,
    /// Bounds on the lines about refused votes, by reason.
    pub(super) refusals: BTreeMap<Refusal, LogBound>,
    /// Members by id with the disk and the time of their newest message.
    pub(super) heard: BTreeMap<id::VoterId, (id::DiskId, time::Monotonic)>,
    /// When a leader was last known to live, or the replica started.
    pub(super) led_at: time::Monotonic,
    pub(super) quorum_bound: LogBound,
}

impl Diagnosis {
    /// Creates the state of a replica that starts at `now`.
    pub(super) fn new(now: time::Monotonic) -> Self {
        Self {
            ballot: None,
            ballot_bound: LogBound::default(),
            refusals: BTreeMap::new(),
            heard: BTreeMap::new(),
            led_at: now,
            quorum_bound: LogBound::default(),
        }
    }
}
