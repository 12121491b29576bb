use comfreymill_types::id;

/// Availability zones by region.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Regions {
    zones: Vec<(id::RegionName, Vec<id::ZoneName>)>,
}

impl Regions {
    /// Creates an empty list of regions.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a region with its zones.
    #[must_use]
    pub fn region(mut self, region: id::RegionName, zones: Vec<id::ZoneName>) -> Self {
        self.zones.push((region, zones));
        self
    }

    /// Region to which the zone belongs.
    pub fn get_region(&self, zone: &id::ZoneName) -> Option<&id::RegionName> {
        let (region, _) = self.zones.iter().find(|(_, zones)| zones.contains(zone))?;
        Some(region)
    }

    /// Iterates over the regions and their zones, in the order of the file.
    pub fn iter(&self) -> impl Iterator<Item = (&id::RegionName, &[id::ZoneName])> {
        self.zones.iter().map(|(region, zones)| (region, zones.as_slice()))
    }

    /// Returns every repeated occurrence of a zone that is listed more than once.
    pub fn get_duplicate_zones(&self) -> Vec<&id::ZoneName> {
        let all: Vec<_> = self.zones.iter().flat_map(|(_, zones)| zones).collect();
        let numbered = all.iter().enumerate();
        numbered.filter(|(i, zone)| all[..*i].contains(zone)).map(|(_, zone)| *zone).collect()
    }
}
