use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use comfreymill_http::client;

const TIMEOUT: Duration = Duration::from_secs(3);

/// Sends reports to one entry, and moves on to the next one when a report fails.
#[derive(Debug)]
pub(super) struct Announcer {
    entries: Vec<SocketAddr>,
    path: &'static str,
    next: usize,
}

impl Announcer {
    pub(super) fn new(entries: Vec<SocketAddr>, path: &'static str) -> Self {
        Self { entries, path, next: 0 }
    }

    /// Sends a report, and returns the answer of the first entry that accepts it.
    pub(super) async fn report<T>(&mut self, report: &T) -> Option<Bytes>
    where
        T: serde::Serialize,
    {
        let body = Bytes::from(serde_json::to_vec(report).ok()?);
        for _ in 0..self.entries.len() {
            let entry = self.entries[self.next % self.entries.len()];
            let target = http::Uri::from_static(self.path);
            let headers = http::HeaderMap::new();
            let sent =
                client::request(entry, http::Method::POST, target, headers, body.clone(), TIMEOUT);
            match sent.await {
                Ok(response) if response.status().is_success() => {
                    return Some(response.into_body());
                }
                Ok(response) => {
                    let body = String::from_utf8_lossy(response.body()).into_owned();
                    log::debug!(target: "standin", "{entry} refused a report: {body}.");
                }
                Err(error) => log::debug!(target: "standin", "cannot reach {entry}: {error}."),
            }
            self.next += 1;
        }
        None
    }
}
