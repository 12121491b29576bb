use std::collections::BTreeMap;
use std::time::Instant;

use super::{Cost, Fleet};
use crate::cluster::{Cluster, Place};
use crate::error::BenchError;
use crate::figure::Figure;

/// Time window over which the resource use of all processes is measured.
pub(super) struct Window {
    began: Instant,
    controls: Vec<Cost>,
    entries: Vec<Cost>,
    /// Bytes sent so far, by sender and receiver.
    traffic: BTreeMap<(Place, Place), u64>,
}

impl Window {
    pub(super) fn begin(fleet: &Fleet) -> Result<Self, BenchError> {
        let costs = |all: &[crate::cluster::Process]| all.iter().map(Cost::of).collect();
        let controls: Result<Vec<_>, BenchError> = costs(&fleet.cluster.controls);
        let entries: Result<Vec<_>, BenchError> = costs(&fleet.cluster.entries);
        let traffic = traffic(&fleet.cluster);
        Ok(Self { began: Instant::now(), controls: controls?, entries: entries?, traffic })
    }

    /// Returns the resource use since the beginning of the window, by role of the process.
    pub(super) fn end(
        self,
        fleet: &Fleet,
        leader: usize,
        prefix: &str,
        seed: u64,
    ) -> Result<Vec<Figure>, BenchError> {
        let seconds = self.began.elapsed().as_secs_f64();
        let now = Self::begin(fleet)?;
        let mut figures = Vec::new();
        let mut add = |name: String, value: f64, unit: &str| {
            figures.push(Figure::new(format!("{prefix}.{name}"), value, unit, seed));
        };
        let role = |index: usize| if index == leader { "leader" } else { "follower" };
        let controls = (0..).zip(self.controls.iter().zip(&now.controls));
        let controls = controls.map(|(index, costs)| (role(index), costs));
        let entries = self.entries.iter().zip(&now.entries).map(|costs| ("entry", costs));
        let mut by_role: BTreeMap<&str, Vec<(f64, f64)>> = BTreeMap::new();
        for (role, (before, after)) in controls.chain(entries) {
            let used = after.processor.saturating_sub(before.processor).as_secs_f64();
            let percent = used / seconds * 100.0;
            by_role.entry(role).or_default().push((percent, after.resident_megabytes));
        }
        for (role, costs) in by_role {
            let count = costs.len() as f64;
            let percent = costs.iter().map(|cost| cost.0).sum::<f64>() / count;
            let worst = costs.iter().map(|cost| cost.0).fold(0.0, f64::max);
            let memory = costs.iter().map(|cost| cost.1).fold(0.0, f64::max);
            add(format!("{role}.processor_mean"), percent, "% of a core");
            add(format!("{role}.processor_worst"), worst, "% of a core");
            add(format!("{role}.resident_worst"), memory, "MB");
        }
        for (kind, bytes) in self.traffic_by_kind(&now, leader) {
            add(format!("traffic.{kind}"), bytes / seconds, "B/s");
        }
        for (kind, bytes) in self.traffic_by_node(&now, leader) {
            add(format!("traffic.{kind}"), bytes / seconds, "B/s");
        }
        Ok(figures)
    }

    /// Returns the bytes by kind of sender and receiver, and those sent between regions.
    fn traffic_by_kind(&self, now: &Self, leader: usize) -> BTreeMap<String, f64> {
        let mut by_kind: BTreeMap<String, f64> = BTreeMap::new();
        for ((from, to), bytes) in self.sent_until(now) {
            let kind = format!("{}_to_{}", kind(from, leader), kind(to, leader));
            if region(from) != region(to) {
                *by_kind.entry(format!("regions_link.{kind}")).or_default() += bytes;
                *by_kind.entry("regions_link".to_owned()).or_default() += bytes;
            }
            *by_kind.entry(kind).or_default() += bytes;
        }
        by_kind
    }

    /// Returns the mean number of bytes sent and received per process of each kind.
    fn traffic_by_node(&self, now: &Self, leader: usize) -> BTreeMap<String, f64> {
        let mut sums: BTreeMap<String, f64> = BTreeMap::new();
        for ((from, to), bytes) in self.sent_until(now) {
            *sums.entry(format!("each_{}_sends", kind(from, leader))).or_default() += bytes;
            *sums.entry(format!("each_{}_receives", kind(to, leader))).or_default() += bytes;
        }
        for (name, sum) in &mut sums {
            if name.starts_with("each_entry") {
                *sum /= self.entries.len().max(1) as f64;
            } else if name.starts_with("each_follower") {
                *sum /= (self.controls.len() - 1).max(1) as f64;
            }
        }
        sums
    }

    /// Returns the bytes sent from the beginning of the window until `now`.
    fn sent_until<'a>(&'a self, now: &'a Self) -> impl Iterator<Item = ((Place, Place), f64)> + 'a {
        now.traffic.iter().map(|(link, bytes)| {
            let before = self.traffic.get(link).copied().unwrap_or(0);
            (*link, bytes.saturating_sub(before) as f64)
        })
    }
}

fn traffic(cluster: &Cluster) -> BTreeMap<(Place, Place), u64> {
    let mut sums = BTreeMap::new();
    for link in cluster.get_traffic() {
        let to = Place::Control(link.to);
        *sums.entry((link.from, to)).or_default() += link.sent;
        *sums.entry((to, link.from)).or_default() += link.received;
    }
    sums
}

fn kind(place: Place, leader: usize) -> &'static str {
    match place {
        Place::Control(index) if index == leader => "leader",
        Place::Control(_) => "follower",
        Place::Entry(_) => "entry",
    }
}

fn region(place: Place) -> &'static str {
    match place {
        Place::Control(index) | Place::Entry(index) => Cluster::get_zone(index).0,
    }
}
