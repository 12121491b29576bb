use std::collections::BTreeMap;

use crate::id;

/// Order of an operator to evacuate an availability zone, or to withdraw that.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ZoneOrder {
    /// Zone that the order concerns.
    pub zone: id::ZoneName,
    /// Who gave the order.
    pub operator: String,
    /// Time of day at which the order was received, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Revision of the zone's record that was known where the order was received; the order is
    /// superseded if another one has changed the record since.
    pub revision: u64,
}

/// Order in force, or the last one that was.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ZoneRequest {
    /// Who gave the order.
    pub operator: String,
    /// Time of day at which the order was received, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Orders about one zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ZoneRecord {
    /// Number of changes.
    pub revision: u64,
    /// Request for the evacuation, if the zone is evacuated.
    pub evacuated: Option<ZoneRequest>,
    /// Latest withdrawal of an evacuation.
    pub withdrawn: Option<ZoneRequest>,
}

/// Records of the zones that were ever evacuated, by zone.
///
/// A record outlives the withdrawal, so that an order that was delayed on its way does not undo one
/// that was given later.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Evacuations(BTreeMap<id::ZoneName, ZoneRecord>);

/// Outcome of an order about a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ZoneOutcome {
    Changed,
    /// The zone already was in the wanted state.
    Unchanged,
    Superseded,
}

impl Evacuations {
    /// Returns the record of a zone, if it was ever evacuated.
    pub fn get(&self, zone: &id::ZoneName) -> Option<&ZoneRecord> {
        self.0.get(zone)
    }

    /// Returns the revision of a zone's record; 0 if there is none.
    pub fn get_revision(&self, zone: &id::ZoneName) -> u64 {
        self.get(zone).map_or(0, |record| record.revision)
    }

    /// Iterates over the zones and their records.
    pub fn iter(&self) -> impl Iterator<Item = (&id::ZoneName, &ZoneRecord)> {
        self.0.iter()
    }

    /// Iterates over the zones that are evacuated.
    pub fn evacuated(&self) -> impl Iterator<Item = &id::ZoneName> {
        let evacuated = self.0.iter().filter(|(_, record)| record.evacuated.is_some());
        evacuated.map(|(zone, _)| zone)
    }

    /// Applies a request for an evacuation.
    pub(super) fn evacuate(&mut self, order: ZoneOrder) -> ZoneOutcome {
        let ZoneOrder { zone, operator, unix_ms, revision } = order;
        let known = self.get_revision(&zone);
        if self.get(&zone).is_some_and(|record| record.evacuated.is_some()) {
            return ZoneOutcome::Unchanged;
        }
        if revision != known {
            return ZoneOutcome::Superseded;
        }
        let record = self.0.entry(zone).or_default();
        record.revision += 1;
        record.evacuated = Some(ZoneRequest { operator, unix_ms });
        ZoneOutcome::Changed
    }

    /// Applies the withdrawal of an evacuation.
    pub(super) fn withdraw(&mut self, order: ZoneOrder) -> ZoneOutcome {
        let ZoneOrder { zone, operator, unix_ms, revision } = order;
        let Some(record) = self.0.get_mut(&zone) else { return ZoneOutcome::Unchanged };
        if record.evacuated.is_none() {
            return ZoneOutcome::Unchanged;
        }
        if revision != record.revision {
            return ZoneOutcome::Superseded;
        }
        record.revision += 1;
        record.evacuated = None;
        record.withdrawn = Some(ZoneRequest { operator, unix_ms });
        ZoneOutcome::Changed
    }
}
