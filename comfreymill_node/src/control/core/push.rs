use std::collections::BTreeSet;

use comfreymill_ledger::codec;
use comfreymill_types::document;
use comfreymill_types::time;

use super::core::Core;
use super::sessions::Session;
use crate::control::leader::Leader;
use crate::peer;
use crate::protocol;

/// # State pushed to entries
impl Core {
    /// Sends each entry the documents and executor rows that changed since the last push to it.
    pub(super) fn push(&mut self, now: time::Monotonic) {
        if !self.is_serving(now) {
            return;
        }
        let Some(leader) = &mut self.leader else { return };
        let revision = self.ledger.get_documents_revision();
        let mut documents = None;
        let is_table_due = leader.take_table_due();
        let mut are_tables_sent = true;
        for session in self.sessions.iter_mut().filter(|session| session.has_called) {
            if session.sent_revision != Some(revision) {
                let body = documents.get_or_insert_with(|| documents_push(&self.ledger));
                session.send(peer::FrameKind::Push, 0, body.clone());
                session.sent_revision = Some(revision);
            }
            if is_table_due || !session.is_full_table_sent {
                are_tables_sent &= push_table(now, leader, session);
            }
        }
        if !are_tables_sent {
            leader.set_table_due();
        }
    }
}

/// Sends the changed executor rows and returns whether the entry now has the current table.
fn push_table(now: time::Monotonic, leader: &mut Leader, session: &mut Session) -> bool {
    let Some(rows) = leader.executor_table(now, &session.owner) else { return false };
    let is_whole = !session.is_full_table_sent;
    let changed = rows.iter().filter(|row| session.sent_rows.get(&row.name) != Some(row));
    let changed: Vec<_> = changed.cloned().collect();
    let names: BTreeSet<_> = rows.iter().map(|row| &row.name).collect();
    let gone = session.sent_rows.keys().filter(|name| !names.contains(*name));
    let gone: Vec<_> = gone.cloned().collect();
    if !is_whole && changed.is_empty() && gone.is_empty() {
        return true;
    }
    let sent = if is_whole { rows.clone() } else { changed };
    let term = leader.get_term();
    let push = protocol::Push::Executors { term, is_whole, rows: sent, gone };
    session.send(peer::FrameKind::Push, 0, codec::encode(&push));
    session.is_full_table_sent = true;
    session.sent_rows = rows.into_iter().map(|row| (row.name.clone(), row)).collect();
    true
}

fn documents_push(ledger: &comfreymill_ledger::ledger::Ledger) -> bytes::Bytes {
    let mut documents = Vec::new();
    for (environment, state) in ledger.get_environments() {
        for stage in [document::Stage::Trial, document::Stage::Production] {
            let Some(record) = state.get(stage) else { continue };
            documents.push(protocol::DocumentView {
                environment_stage: protocol::EnvironmentStage {
                    environment: environment.clone(),
                    stage,
                },
                version: record.version,
                digest: record.digest,
                text: record.text.clone(),
                revision: record.revision,
            });
        }
    }
    let revision = ledger.get_documents_revision();
    codec::encode(&protocol::Push::Documents { revision, documents })
}
