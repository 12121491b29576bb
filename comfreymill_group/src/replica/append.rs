use crate::entry;
use crate::id;
use crate::message;
use crate::replica::Replica;
use crate::replica::{Action, Halt};
use comfreymill_types::time;

impl Replica {
    /// Handles entries of the leader; they are accepted once they are synced.
    pub(super) fn handle_append(
        &mut self,
        now: time::Monotonic,
        from: id::VoterId,
        disk: id::DiskId,
        append: message::Append,
    ) {
        self.follow(now, from);
        let prev = id::Index::new(append.prev_index);
        let entries: Vec<entry::Entry> = append.entries.into_iter().map(Into::into).collect();
        if !are_contiguous(prev, id::Term::new(append.prev_term), self.term(), &entries) {
            log::warn!(target: "group", "replica {from} sent entries out of order");
            return;
        }
        let agrees =
            prev <= self.commit || self.log.term_at(prev) == Some(id::Term::new(append.prev_term));
        let index = if agrees {
            let last = prev.plus(entries.len() as u64).max(self.commit);
            if !self.append_missing(entries) {
                return;
            }
            let commit = id::Index::new(append.commit).min(last);
            self.commit = self.commit.max(commit);
            last
        } else {
            self.next_probe_index(prev)
        };
        let response = message::AppendResponse {
            prev_index: append.prev_index,
            rejected: !agrees,
            index: index.get(),
            sent_at_micros: append.sent_at_micros,
        };
        let body = message::Body::AppendResponse(response);
        if agrees {
            self.send_synced(from, disk, body);
        } else {
            // Like the response to a heartbeat, a rejection promises nothing that has to be durable.
            self.send(from, disk, body);
        }
    }

    /// Appends the entries that the log lacks. Returns `false` if the replica halted.
    fn append_missing(&mut self, entries: Vec<entry::Entry>) -> bool {
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                None if entry.index <= self.log.base_index() => continue,
                None => {}
                Some(_) if entry.index <= self.commit => {
                    let (index, term) = (entry.index, entry.term);
                    self.halt(Halt::CommittedConflict { index, term });
                    return false;
                }
                Some(_) => self.truncate_from(entry.index),
            }
            self.outbox.note_entries(entry.index);
            self.log.push(entry);
        }
        self.forget_announcements_of_members();
        true
    }

    /// Removes the entries from `index` on, which a newer leader overwrites.
    pub(super) fn truncate_from(&mut self, index: id::Index) {
        let to = self.log.last_index();
        self.log.truncate_from(index);
        self.outbox.note_truncated(index);
        self.outbox.actions.push(Action::Truncated { from: index, to });
    }

    /// Returns the index at which the leader retries when the entry at `prev` doesn't match.
    fn next_probe_index(&self, prev: id::Index) -> id::Index {
        if prev > self.log.last_index() {
            return self.log.last_index().next();
        }
        self.log.first_of_term(prev).max(self.commit.next())
    }
}

/// Returns whether `entries` follow `prev` without a gap, in terms that never decrease and don't
/// exceed `term`.
fn are_contiguous(
    prev: id::Index,
    prev_term: id::Term,
    term: id::Term,
    entries: &[entry::Entry],
) -> bool {
    let mut index = prev;
    let mut min_term = prev_term;
    for entry in entries {
        index = index.next();
        if entry.index != index || entry.term < min_term || entry.term > term {
            return false;
        }
        min_term = entry.term;
    }
    true
}
