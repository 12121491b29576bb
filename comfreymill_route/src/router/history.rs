use std::collections::HashMap;
use std::collections::VecDeque;

use super::{Decision, RequestView, Step};

/// Decision records of the latest requests, at most `limit`.
#[derive(Debug)]
pub(super) struct History {
    limit: usize,
    order: VecDeque<u64>,
    records: HashMap<u64, Decision>,
}

impl History {
    pub(super) fn new(limit: usize) -> Self {
        Self { limit, order: VecDeque::new(), records: HashMap::new() }
    }

    /// Creates the record of a request, and drops the oldest record if the limit is reached.
    pub(super) fn open(&mut self, req: &RequestView) {
        if self.limit == 0 {
            return;
        }
        if self.order.len() >= self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.records.remove(&oldest);
        }
        let decision = Decision {
            request: req.id,
            class: req.class.clone(),
            team: req.team.clone(),
            steps: Vec::with_capacity(2),
        };
        self.order.push_back(req.id);
        self.records.insert(req.id, decision);
    }

    /// Adds a step to the record of a request, if it is still kept.
    pub(super) fn add(&mut self, request: u64, step: Step) {
        if let Some(decision) = self.records.get_mut(&request) {
            decision.steps.push(step);
        }
    }

    pub(super) fn get(&self, request: u64) -> Option<&Decision> {
        self.records.get(&request)
    }

    /// Returns the records from the latest to the oldest.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Decision> {
        self.order.iter().rev().filter_map(|request| self.records.get(request))
    }
}
