use bytes::Bytes;
use comfreymill_ledger::command::Command;
use comfreymill_ledger::request;
use comfreymill_types::document;
use comfreymill_types::id;

use super::log::{Cost, Log};
use super::names;

const BODY_BYTES: usize = 200;

/// Opens and closes requests with idempotency keys, each with a stored answer.
pub(super) fn add_requests(log: &mut Log, count: usize, open: &mut Cost, close: &mut Cost) {
    let owner = request::Owner {
        entry: names::entry(1),
        incarnation: id::Incarnation::new(1_780_000_000_000_000),
    };
    for number in 0..count {
        let key = request::RequestKey {
            environment: names::environment(),
            stage: document::Stage::Production,
            team: Some(names::name("team-01")),
            key: names::name(&format!("certificate-2026-12-04-{number:08}")),
        };
        let digest = id::Digest::of(&number.to_be_bytes());
        let (owner, unrepeatable) = (owner.clone(), true);
        let opening =
            Command::OpenRequest { key: key.clone(), digest, owner: owner.clone(), unrepeatable };
        log.apply(opening, open);
        let answer = request::StoredAnswer {
            status: 200,
            headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            body: Some(Bytes::from(vec![b'x'; BODY_BYTES])),
        };
        let outcome = request::RequestOutcome::Answered(answer);
        log.apply(Command::CloseRequest { key, owner, outcome }, close);
    }
}
