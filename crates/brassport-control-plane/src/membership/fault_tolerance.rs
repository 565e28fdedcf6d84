//! The losses that the voters must tolerate, and the check whether a set of voters does.

use std::collections::BTreeMap;

/// The simultaneous losses after which the remaining voters must still form a majority. Each kind of loss is considered
/// on its own.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Number of lost core nodes.
    pub machines: usize,
    /// Number of lost zones.
    pub zones: usize,
    /// Number of lost regions.
    pub regions: usize,
    /// The region of each zone, by the zone's name.
    pub region_of: BTreeMap<String, String>,
}

impl FaultTolerance {
    /// Tolerance of the loss of `machines` core nodes, but of no complete zone or region.
    pub fn machines(machines: usize) -> FaultTolerance {
        FaultTolerance { machines, ..FaultTolerance::default() }
    }

    /// Whether voters in these zones keep a majority after each kind of loss. A voter of unknown zone (`None`) counts
    /// as the only voter of a zone of its own.
    pub fn is_met_by(&self, zones: &[Option<&str>]) -> bool {
        let lost_with_zones = largest_groups(zones.iter().copied(), self.zones);
        let region = |zone: &Option<&str>| zone.and_then(|zone| self.region_of.get(zone)).map(String::as_str);
        let lost_with_regions = largest_groups(zones.iter().map(region), self.regions);
        let lost = self.machines.max(lost_with_zones).max(lost_with_regions);
        zones.len() > lost && zones.len() - lost > zones.len() / 2
    }
}

/// The total number of voters in the `groups` largest groups. Each `None` is a group of one.
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
