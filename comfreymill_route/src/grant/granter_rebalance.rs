use std::collections::{BTreeMap, BTreeSet};

use comfreymill_types::id;
use comfreymill_types::time;

use super::executor_state::{ExecutorState, HolderId};
use super::granter::Granter;
use super::share;

/// Number of slots that an entry keeps on an executor that it has ejected, for trial requests.
const TRIAL_SLOTS: u32 = 1;

/// Claim of an entry with a valid lease on the slots of one service.
#[derive(Debug)]
struct Claim {
    id: HolderId,
    region: id::RegionName,
    wanted: u32,
}

/// Number of slots assigned to a claim in one region.
#[derive(Clone, Copy, Debug, Default)]
struct Quota {
    /// Slots that cover the entry's demand.
    needed: u32,
    /// `needed` plus the entry's part of the slots that nobody needs.
    target: u32,
}

/// # Rebalancing of grants
impl Granter {
    /// Raises and recalls grants so that no slot is idle while requests wait at another entry.
    pub(super) fn rebalance(&mut self, now: time::Monotonic) {
        self.recall_avoided(now);
        let open = self.executors.values().filter_map(|executor| executor.announced.as_ref());
        let service_regions: BTreeSet<_> =
            open.map(|open| (open.service.clone(), open.region.clone())).collect();
        let services: BTreeSet<_> =
            service_regions.iter().map(|(service, _)| service.clone()).collect();
        for service in services {
            let claims = self.claims(now, &service);
            let regions = service_regions.iter().filter(|pair| pair.0 == service);
            let regions: Vec<_> = regions.map(|pair| pair.1.clone()).collect();
            let quotas = self.quotas(&service, &regions, &claims);
            for (region, quotas) in regions.iter().zip(&quotas) {
                self.rebalance_region(&service, region, &claims, quotas);
            }
        }
        self.recall_excess();
    }

    /// Recalls the slots on executors that an entry has ejected, except one for trial requests.
    fn recall_avoided(&mut self, now: time::Monotonic) {
        let lease = self.cfg.get_lease();
        let mut live_entries = 0;
        let mut avoid_counts: BTreeMap<id::ExecutorName, usize> = BTreeMap::new();
        let mut recalls = Vec::new();
        for (name, entry) in &self.entries {
            if now.since(entry.last_heard) >= lease {
                continue;
            }
            live_entries += 1;
            for executor in &entry.avoided {
                *avoid_counts.entry(executor.clone()).or_default() += 1;
                recalls.push((executor.clone(), (name.clone(), entry.incarnation)));
            }
        }
        avoid_counts.retain(|_, count| 2 * *count > live_entries);
        self.widely_avoided = avoid_counts.into_keys().collect();
        for (executor, id) in recalls {
            self.recall(&executor, &id, TRIAL_SLOTS);
        }
    }

    fn is_avoided(&self, name: &id::ExecutorName, id: &HolderId) -> bool {
        self.entries.get(&id.0).is_some_and(|entry| entry.avoided.contains(name))
    }

    fn claims(&self, now: time::Monotonic, service: &id::ServiceName) -> Vec<Claim> {
        let lease = self.cfg.get_lease();
        let live_entries =
            self.entries.iter().filter(|(_, entry)| now.since(entry.last_heard) < lease);
        let claim = |(name, entry): (&id::EntryName, &super::entry_state::EntryState)| {
            let region = entry.region.clone()?;
            let demand = entry.demand.get(service).copied().unwrap_or(0);
            let wanted = if entry.draining { demand } else { demand.max(self.cfg.get_floor()) };
            Some(Claim { id: (name.clone(), entry.incarnation), region, wanted })
        };
        live_entries.filter_map(claim).collect()
    }

    /// Returns the quota of each claim in each region.
    ///
    /// Demand is met from the entry's own region first, then from what the other regions have
    /// left. What remains after the reserve is divided among the entries of the region itself.
    fn quotas(
        &self,
        service: &id::ServiceName,
        regions: &[id::RegionName],
        claims: &[Claim],
    ) -> Vec<Vec<Quota>> {
        let mut unmet: Vec<u32> = claims.iter().map(|claim| claim.wanted).collect();
        let mut left: Vec<u32> =
            regions.iter().map(|region| self.capacity(service, region)).collect();
        let mut needed = vec![vec![0; claims.len()]; regions.len()];
        for is_own in [true, false] {
            for (r, region) in regions.iter().enumerate() {
                let fits = |claim: &Claim| (claim.region == *region) == is_own;
                let wanted: Vec<u32> = claims
                    .iter()
                    .zip(&unmet)
                    .map(|(claim, unmet)| if fits(claim) { *unmet } else { 0 })
                    .collect();
                for (i, given) in share::divide_fairly(left[r], &wanted).into_iter().enumerate() {
                    needed[r][i] += given;
                    unmet[i] -= given;
                    left[r] -= given;
                }
            }
        }
        let is_all_met = unmet.iter().all(|unmet| *unmet == 0);
        let extra = |r: usize, region: &id::RegionName| {
            let reserve = f64::from(self.capacity(service, region)) * self.cfg.get_reserve();
            let spare = left[r].saturating_sub(reserve.ceil() as u32);
            let weight = |claim: &Claim| {
                let is_own = claim.region == *region;
                if is_own { share::headroom_weight(claim.wanted) } else { 0 }
            };
            let weights: Vec<u32> = claims.iter().map(weight).collect();
            share::divide_by_weight(if is_all_met { spare } else { 0 }, &weights)
        };
        let of_region = |(r, region): (usize, &id::RegionName)| {
            let quota =
                |(needed, extra): (&u32, u32)| Quota { needed: *needed, target: *needed + extra };
            needed[r].iter().zip(extra(r, region)).map(quota).collect()
        };
        regions.iter().enumerate().map(of_region).collect()
    }

    /// Changes the grants on a region's executors towards the quotas.
    fn rebalance_region(
        &mut self,
        service: &id::ServiceName,
        region: &id::RegionName,
        claims: &[Claim],
        quotas: &[Quota],
    ) {
        let held = |this: &Self, i: usize| this.held_slots(service, region, &claims[i].id);
        for (i, quota) in quotas.iter().enumerate() {
            let lacking = quota.needed.saturating_sub(held(self, i));
            self.grant_slots(service, region, &claims[i].id, lacking);
        }
        let lacks = |(i, quota): (usize, &Quota)| quota.needed.saturating_sub(held(self, i));
        let lacking: u32 = quotas.iter().enumerate().map(lacks).sum();
        let mut missing = lacking.saturating_sub(self.recalled(service, region));
        for (i, quota) in quotas.iter().enumerate() {
            let surplus = held(self, i).saturating_sub(quota.target);
            let part = surplus.min(missing);
            self.recall_slots(service, region, &claims[i].id, part);
            missing -= part;
        }
        if lacking > 0 {
            return;
        }
        for (i, quota) in quotas.iter().enumerate() {
            let extra = quota.target.saturating_sub(held(self, i));
            self.grant_slots(service, region, &claims[i].id, extra);
        }
    }

    /// Grants up to `wanted` free slots: first on executors where the entry already holds some,
    /// then where most are free.
    fn grant_slots(
        &mut self,
        service: &id::ServiceName,
        region: &id::RegionName,
        id: &HolderId,
        mut wanted: u32,
    ) {
        for most in [self.cfg.get_chunk(), u32::MAX] {
            if wanted == 0 {
                return;
            }
            for name in self.executors_by_preference(service, region, id) {
                let executor = &self.executors[&name];
                let held = executor.target_of(id);
                let recalled = executor.holders.get(id).map_or(0, |h| h.slots - h.target);
                let grantable = most.saturating_sub(held).min(executor.free() + recalled);
                let part = grantable.min(wanted);
                if part > 0 {
                    self.raise(&name, id, part);
                    wanted -= part;
                }
            }
        }
    }

    fn executors_by_preference(
        &self,
        service: &id::ServiceName,
        region: &id::RegionName,
        id: &HolderId,
    ) -> Vec<id::ExecutorName> {
        let open =
            self.open_executors(service, region).filter(|(name, _)| !self.is_avoided(name, id));
        let mut order: Vec<_> = open
            .map(|(name, executor)| {
                let held = executor.target_of(id);
                (held == 0, u32::MAX - executor.free(), name.clone())
            })
            .collect();
        order.sort();
        order.into_iter().map(|(_, _, name)| name).collect()
    }

    /// Recalls up to `slots` slots of an entry, smallest grants first.
    fn recall_slots(
        &mut self,
        service: &id::ServiceName,
        region: &id::RegionName,
        id: &HolderId,
        mut slots: u32,
    ) {
        if slots == 0 {
            return;
        }
        let open = self.open_executors(service, region);
        let mut order: Vec<_> = open
            .map(|(name, executor)| (executor.target_of(id), name.clone()))
            .filter(|(held, _)| *held > 0)
            .collect();
        order.sort();
        for (held, name) in order {
            let part = held.min(slots);
            if part > 0 {
                self.recall(&name, id, held - part);
                slots -= part;
            }
        }
    }

    /// Recalls the slots granted beyond the number that each executor announces.
    fn recall_excess(&mut self) {
        let open = self.executors.iter().filter(|(_, executor)| executor.is_open());
        let open: Vec<_> = open.map(|(name, _)| name.clone()).collect();
        for name in open {
            let executor = &self.executors[&name];
            let targets = executor.granted() - executor.recalled();
            let mut excess = targets.saturating_sub(executor.capacity());
            let holders: Vec<_> =
                executor.holders.iter().map(|(id, holder)| (id.clone(), holder.target)).collect();
            for (id, target) in holders {
                let part = target.min(excess);
                if part > 0 {
                    self.recall(&name, &id, target - part);
                    excess -= part;
                }
            }
        }
    }

    fn open_executors<'a>(
        &'a self,
        service: &'a id::ServiceName,
        region: &'a id::RegionName,
    ) -> impl Iterator<Item = (&'a id::ExecutorName, &'a ExecutorState)> {
        self.executors.iter().filter(move |(name, executor)| {
            let announced = executor.announced.as_ref();
            let fits = announced.is_some_and(|a| a.service == *service && a.region == *region);
            fits && executor.is_open() && !self.widely_avoided.contains(*name)
        })
    }

    fn capacity(&self, service: &id::ServiceName, region: &id::RegionName) -> u32 {
        self.open_executors(service, region).map(|(_, executor)| executor.capacity()).sum()
    }

    fn held_slots(&self, service: &id::ServiceName, region: &id::RegionName, id: &HolderId) -> u32 {
        let open =
            self.open_executors(service, region).filter(|(name, _)| !self.is_avoided(name, id));
        open.map(|(_, executor)| executor.target_of(id)).sum()
    }

    fn recalled(&self, service: &id::ServiceName, region: &id::RegionName) -> u32 {
        self.open_executors(service, region).map(|(_, executor)| executor.recalled()).sum()
    }
}
