use std::collections::{BTreeMap, VecDeque};

use comfreymill_batch::action;
use comfreymill_batch::event;
use comfreymill_types::id;

/// Ledger that commits proposals in order and panics on one that breaks an invariant.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeLedger {
    pub(crate) tasks: BTreeMap<id::TaskId, event::TaskView>,
    pub(crate) attempts: BTreeMap<id::TaskId, event::AttemptView>,
    pub(crate) finished: Vec<id::TaskId>,
    pub(crate) pending: VecDeque<(u64, action::Action)>,
}

impl FakeLedger {
    /// Commits one proposal and returns the event that confirms it.
    pub(crate) fn commit(&mut self, action: action::Action) -> Option<event::Event> {
        match action {
            action::Action::Start { attempt, checkpoint } => {
                self.start(attempt, checkpoint.as_ref())
            }
            action::Action::RecordCheckpoint { attempt, checkpoint } => {
                self.attempts.get(&attempt.task).filter(|open| open.id == attempt)?;
                let task = self.tasks.get_mut(&attempt.task)?;
                let known = task.checkpoint.as_ref().map_or(0, |old| old.sequence);
                assert!(checkpoint.sequence > known, "a checkpoint went back: {attempt}");
                task.checkpoint = Some(checkpoint.clone());
                Some(event::Event::CheckpointRecorded { attempt, checkpoint })
            }
            action::Action::End { attempt, outcome, checkpoint, park } => {
                self.end(attempt, outcome, checkpoint, park)
            }
            action::Action::Park { task, reason } => {
                assert!(!self.attempts.contains_key(&task), "parked with an attempt: {task}");
                self.tasks.get_mut(&task)?.parked = Some(reason.clone());
                Some(event::Event::TaskParked { task, reason })
            }
            action::Action::Unpark { task } => {
                self.tasks.get_mut(&task)?.parked = None;
                Some(event::Event::TaskUnparked(task))
            }
            _ => None,
        }
    }

    fn start(
        &mut self,
        attempt: event::AttemptView,
        checkpoint: Option<&event::Checkpoint>,
    ) -> Option<event::Event> {
        let id = attempt.id.task;
        let task = self.tasks.get_mut(&id)?;
        assert!(!self.attempts.contains_key(&id), "a second attempt: {}", attempt.id);
        assert!(task.parked.is_none(), "a parked task was started: {id}");
        assert_eq!(attempt.id.number, task.last_attempt.next(), "numbers rise by one: {id}");
        assert_eq!(
            checkpoint,
            task.checkpoint.as_ref(),
            "resumed from the recorded checkpoint: {id}"
        );
        task.last_attempt = attempt.id.number;
        self.attempts.insert(id, attempt.clone());
        Some(event::Event::AttemptStarted(attempt))
    }

    fn end(
        &mut self,
        attempt: id::AttemptId,
        outcome: action::Outcome,
        checkpoint: Option<event::Checkpoint>,
        park: Option<action::ParkReason>,
    ) -> Option<event::Event> {
        let id = attempt.task;
        self.attempts.get(&id).filter(|open| open.id == attempt)?;
        self.attempts.remove(&id);
        let task = self.tasks.get_mut(&id)?;
        let recorded = checkpoint.clone();
        if let Some(checkpoint) = checkpoint {
            task.checkpoint = Some(checkpoint);
        }
        task.parked.clone_from(&park);
        let over = outcome == action::Outcome::Finished && task.class.as_str() != "watch";
        if over {
            self.finished.push(id);
        }
        if over || task.cancelled {
            self.tasks.remove(&id);
        }
        Some(event::Event::AttemptEnded { attempt, outcome, checkpoint: recorded, park })
    }

    /// Commits a cancellation and returns the event that confirms it.
    pub(crate) fn cancel(&mut self, id: id::TaskId) -> Option<event::Event> {
        self.tasks.get_mut(&id)?.cancelled = true;
        if !self.attempts.contains_key(&id) {
            self.tasks.remove(&id);
        }
        Some(event::Event::TaskCancelled(id))
    }

    /// Returns the event with which a new leader starts.
    pub(crate) fn view(&self) -> event::Event {
        event::Event::BecameLeader {
            tasks: self.tasks.values().cloned().collect(),
            attempts: self.attempts.values().cloned().collect(),
        }
    }
}
