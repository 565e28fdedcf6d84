//! Which losses the voters must tolerate, and whether a set of voters does.

use std::collections::BTreeMap;

/// The losses at once over which the voters must keep a majority.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Nodes of the core.
    pub machines: usize,
    /// Complete zones.
    pub zones: usize,
    /// Complete regions.
    pub regions: usize,
    /// The region of each zone.
    pub region_of: BTreeMap<String, String>,
}

impl FaultTolerance {
    /// So many nodes of the core, and no zone.
    pub fn machines(machines: usize) -> FaultTolerance {
        FaultTolerance { machines, ..FaultTolerance::default() }
    }

    /// Whether voters in these zones keep a majority over each loss. A voter whose zone is unknown counts as one in a zone
    /// of its own.
    pub fn is_tolerated_by(&self, zones: &[Option<&str>]) -> bool {
        let lost_with_zones = largest_groups(zones.iter().copied(), self.zones);
        let region = |zone: &Option<&str>| zone.and_then(|zone| self.region_of.get(zone)).map(String::as_str);
        let lost_with_regions = largest_groups(zones.iter().map(region), self.regions);
        let lost = self.machines.max(lost_with_zones).max(lost_with_regions);
        zones.len() > lost && zones.len() - lost > zones.len() / 2
    }
}

/// How many voters the `groups` largest groups have together.
fn largest_groups<'a>(names: impl Iterator<Item = Option<&'a str>>, groups: usize) -> usize {
    let (mut sizes, mut unknown) = (BTreeMap::<&str, usize>::new(), 0);
    for name in names {
        match name {
            Some(name) => *sizes.entry(name).or_default() += 1,
            None => unknown += 1,
        }
    }
    let mut sizes: Vec<usize> = sizes.into_values().chain(std::iter::repeat_n(1, unknown)).collect();
    sizes.sort_unstable();
    sizes.into_iter().rev().take(groups).sum()
}
