use bytes::Bytes;
use comfreymill_batch::action;
use comfreymill_group::replica;
use comfreymill_group::store;
use comfreymill_ledger::codec;
use comfreymill_ledger::command;
use comfreymill_ledger::ledger;
use comfreymill_types::error;
use comfreymill_types::time;

use super::config::CoreConfig;
use super::input::Input;
use super::sessions::Sessions;
use super::waiter::Waiter;
use crate::control::leader::Leader;
use crate::control::views;
use crate::control::voters::Voters;
use crate::proposals::Proposals;

/// Replica, replicated state and, while this replica is the leader, the leader's state.
pub(in crate::control) struct Core {
    pub(super) cfg: CoreConfig,
    pub(super) replica: replica::Replica,
    pub(super) store: store::Thread,
    pub(super) voters: Voters,
    pub(super) ledger: ledger::Ledger,
    pub(super) proposals: Proposals<Waiter>,
    pub(super) sessions: Sessions,
    pub(super) leader: Option<Leader>,
    pub(super) failure: Option<String>,
    pub(super) is_draining: bool,
}

impl Core {
    /// Creates the core for an open replica; the replicated state starts empty.
    pub(in crate::control) fn new(
        cfg: CoreConfig,
        replica: replica::Replica,
        store: store::Thread,
        voters: Voters,
    ) -> Self {
        Self {
            cfg,
            replica,
            store,
            voters,
            ledger: ledger::Ledger::default(),
            proposals: Proposals::default(),
            sessions: Sessions::default(),
            leader: None,
            failure: None,
            is_draining: false,
        }
    }

    /// Handles one message.
    pub(super) fn handle(&mut self, now: time::Monotonic, input: Input) {
        match input {
            Input::Opened { session, peer, frames } => {
                if let Err(error) = self.sessions.open(session, &peer, frames) {
                    log::warn!(target: "peer", "Connection of an entry was refused: {error}.");
                }
            }
            Input::Closed(session) => self.sessions.close(session),
            Input::Call { session, id, call } => self.handle_call(now, session, id, call),
            Input::Group { from, message } => {
                self.replica.step(now, comfreymill_group::id::VoterId::new(from), message);
            }
            Input::Store(completion) => self.store_completed(now, completion),
            Input::Status(reply) => {
                reply.send(self.status(now)).ok();
            }
            Input::Ready(reply) => {
                reply.send(self.check_ready()).ok();
            }
            Input::Drain(done) => {
                self.drain(now);
                done.send(()).ok();
            }
        }
    }

    /// Runs the work that is due at `now`.
    pub(super) fn tick(&mut self, now: time::Monotonic) {
        self.replica.tick(now);
        let is_serving = self.is_serving(now);
        if let Some(leader) = &mut self.leader {
            leader.tick(now, &self.cfg, is_serving);
        }
    }

    /// Returns whether this replica is a ready leader with a valid lease, so that it may answer for
    /// the group.
    pub(super) fn is_serving(&self, now: time::Monotonic) -> bool {
        self.failure.is_none() && self.replica.lease_valid(now) && self.replica.is_ready()
    }

    /// Returns the failure because of which the process must exit.
    pub(super) fn get_failure(&self) -> Option<&str> {
        self.failure.as_deref()
    }

    /// Proposes a command and returns whether the replica accepted the proposal.
    ///
    /// The waiter is notified of the result in either case.
    pub(super) fn propose(
        &mut self,
        now: time::Monotonic,
        command: command::Command,
        waiter: Waiter,
    ) -> bool {
        let at = self.group_time(now);
        let data: Bytes = codec::encode(&command::Entry { at, command });
        match self.replica.propose(now, vec![data]) {
            Ok(proposed) => {
                self.proposals.add(proposed.first, proposed.term, waiter);
                true
            }
            Err(error) => {
                self.handle_propose_error(now, waiter, error);
                false
            }
        }
    }

    /// Proposes the pending decisions of the leader and returns whether the replica accepted any.
    pub(super) fn propose_decisions(&mut self, now: time::Monotonic) -> bool {
        if !self.is_serving(now) {
            return false;
        }
        let mut is_any_accepted = false;
        while let Some((command, action)) = self.next_command(now) {
            if !self.propose(now, command, Waiter::Scheduler(Box::new(action))) {
                break;
            }
            is_any_accepted = true;
        }
        let changes = self.leader.as_mut().map(Leader::take_grant_changes).unwrap_or_default();
        if !changes.is_empty() {
            let command = command::Command::ChangeGrants { changes: changes.clone() };
            is_any_accepted |= self.propose(now, command, Waiter::Grants(changes));
        }
        is_any_accepted
    }

    fn next_command(&mut self, now: time::Monotonic) -> Option<(command::Command, action::Action)> {
        self.leader.as_mut()?.next_command(now, &self.ledger)
    }

    fn group_time(&self, now: time::Monotonic) -> command::GroupTime {
        match &self.leader {
            Some(leader) => leader.group_time(now),
            None => self.ledger.get_now(),
        }
    }

    fn handle_propose_error(
        &mut self,
        now: time::Monotonic,
        waiter: Waiter,
        error: replica::ProposeError,
    ) {
        if let Waiter::Call { session, id, .. } = &waiter
            && !matches!(error, replica::ProposeError::NotLeader { .. })
        {
            let kind = match error {
                replica::ProposeError::TooLong { .. } => error::ErrorKind::BodyTooLarge,
                _ => error::ErrorKind::Overloaded,
            };
            let result = Err(error::Error::new(kind, error.to_string()));
            self.sessions.reply(*session, *id, &result);
            return;
        }
        self.handle_lost_proposal(now, waiter);
    }

    fn store_completed(&mut self, now: time::Monotonic, completion: store::Completion) {
        match completion {
            store::Completion::Synced(sequence) => self.replica.persisted(now, sequence),
            store::Completion::Failed(error) => self.failure = Some(error.to_string()),
        }
    }

    fn drain(&mut self, now: time::Monotonic) {
        self.is_draining = true;
        if let Some(successor) = self.replica.best_successor()
            && let Err(error) = self.replica.transfer_leadership(now, successor)
        {
            log::info!(target: "control", "Leadership cannot be transferred: {error}.");
        }
    }

    fn check_ready(&self) -> Result<(), error::Error> {
        if self.is_draining {
            let message = "the process is stopping";
            return Err(error::Error::new(error::ErrorKind::Draining, message));
        }
        if self.replica.leader_hint().is_none() {
            let message = "the group has no known leader";
            return Err(error::Error::new(error::ErrorKind::NoLeader, message));
        }
        Ok(())
    }

    fn status(&self, now: time::Monotonic) -> Bytes {
        let leader = self.leader.as_ref();
        views::status(&self.replica.status(now), &self.voters, &self.ledger, leader, now)
    }
}
