use crate::id;

/// Regions and zones in which a class may run; an empty list allows all.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementRule {
    /// Allowed regions.
    pub regions: Vec<id::RegionName>,
    /// Allowed availability zones.
    pub zones: Vec<id::ZoneName>,
}

impl PlacementRule {
    /// Returns whether the class may run in `zone` of `region`.
    pub fn allows(&self, region: &id::RegionName, zone: &id::ZoneName) -> bool {
        let region_fits = self.regions.is_empty() || self.regions.contains(region);
        let zone_fits = self.zones.is_empty() || self.zones.contains(zone);
        region_fits && zone_fits
    }
}
