use std::time::Duration;

use comfreymill_ledger::request;
use comfreymill_route::grant;
use comfreymill_types::id;
use comfreymill_types::time;

use super::Leader;
use crate::protocol;

/// Time without a heartbeat after which an entry is removed.
const ENTRY_RETENTION: Duration = Duration::from_secs(3_600);

/// State of an entry from its last heartbeat.
#[derive(Clone, Debug)]
pub(in crate::control) struct EntryInfo {
    pub(in crate::control) incarnation: id::Incarnation,
    pub(in crate::control) zone: id::ZoneName,
    /// Revision of the documents in force at the entry.
    pub(in crate::control) revision: u64,
    pub(in crate::control) is_draining: bool,
    /// Time of the first heartbeat of this incarnation.
    pub(in crate::control) first_heard: time::Monotonic,
    pub(in crate::control) last_heard: time::Monotonic,
    /// Number of heartbeats that this leader received from this incarnation.
    pub(super) sequence: u64,
}

/// # Entries
impl Leader {
    /// Handles a heartbeat of an entry and returns whether its lease is renewed.
    pub(in crate::control) fn entry_heartbeat(
        &mut self,
        now: time::Monotonic,
        owner: &request::Owner,
        (region, zone): (id::RegionName, id::ZoneName),
        heartbeat: &protocol::EntryHeartbeat,
    ) -> bool {
        let Some(sequence) = self.record_entry(now, owner, &zone, heartbeat) else { return false };
        for demand in &heartbeat.demand {
            self.get_or_create_granter(now, &demand.environment_stage);
        }
        let mut is_renewed = true;
        for (stage_key, granter) in &mut self.granters {
            let demand =
                heartbeat.demand.iter().find(|demand| demand.environment_stage == *stage_key);
            is_renewed &= granter.heartbeat(
                now,
                &grant::Heartbeat {
                    entry: owner.entry.clone(),
                    incarnation: owner.incarnation,
                    region: region.clone(),
                    zone: zone.clone(),
                    sequence,
                    demand: demand.map(|demand| demand.services.clone()).unwrap_or_default(),
                    holdings: heartbeat.holdings.clone(),
                    avoided: heartbeat.avoided.clone(),
                    draining: heartbeat.draining,
                },
            );
        }
        if heartbeat.is_over {
            for granter in self.granters.values_mut() {
                granter.entry_left(&owner.entry, owner.incarnation);
            }
        }
        self.collect_grant_changes();
        is_renewed
    }

    /// Iterates over the known entries in order of name.
    pub(in crate::control) fn get_entries(
        &self,
    ) -> impl Iterator<Item = (&id::EntryName, &EntryInfo)> {
        self.entries.iter()
    }

    /// Returns whether the owner of a request can no longer report its outcome.
    ///
    /// If a newer incarnation of the entry is known, a repeatable request may still be running on
    /// its executor until the longest deadline has passed. An unrepeatable request is never run
    /// again, so no wait is needed.
    pub(in crate::control) fn is_owner_lost(
        &self,
        now: time::Monotonic,
        owner: &request::Owner,
        is_unrepeatable: bool,
    ) -> bool {
        let expiry = self.granter_config.get_expiry();
        match self.entries.get(&owner.entry) {
            None => now.since(self.became_leader_at) >= expiry,
            Some(entry) if entry.incarnation > owner.incarnation => {
                is_unrepeatable
                    || now.since(entry.first_heard) >= self.granter_config.get_request_expiry()
            }
            Some(entry) => now.since(entry.last_heard) >= expiry,
        }
    }

    pub(super) fn expire_entries(&mut self, now: time::Monotonic) {
        self.entries.retain(|_, entry| now.since(entry.last_heard) < ENTRY_RETENTION);
    }

    /// Records the state of an entry and returns the number of its heartbeat, or `None` if a newer
    /// incarnation is known.
    fn record_entry(
        &mut self,
        now: time::Monotonic,
        owner: &request::Owner,
        zone: &id::ZoneName,
        heartbeat: &protocol::EntryHeartbeat,
    ) -> Option<u64> {
        let known = self.entries.get(&owner.entry);
        if known.is_some_and(|known| known.incarnation > owner.incarnation) {
            return None;
        }
        let current = known.filter(|known| known.incarnation == owner.incarnation);
        let sequence = current.map_or(0, |current| current.sequence) + 1;
        let info = EntryInfo {
            incarnation: owner.incarnation,
            zone: zone.clone(),
            revision: heartbeat.revision,
            is_draining: heartbeat.draining,
            first_heard: current.map_or(now, |current| current.first_heard),
            last_heard: now,
            sequence,
        };
        self.entries.insert(owner.entry.clone(), info);
        Some(sequence)
    }
}
