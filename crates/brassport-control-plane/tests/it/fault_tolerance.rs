//! Checks which sets of voters tolerate which simultaneous losses.

use brassport_control_plane::FaultTolerance;
use test_case::test_case;

fn zones(names: &str) -> Vec<Option<&str>> {
    names.split_whitespace().map(|name| (name != "?").then_some(name)).collect()
}

#[test_case(1, "a b c", true; "three voters tolerate one loss")]
#[test_case(1, "a b", false; "two voters tolerate no loss")]
#[test_case(1, "a b c d", true; "four voters tolerate one loss")]
#[test_case(2, "a b c d", false; "four voters do not tolerate two losses")]
#[test_case(2, "a b c d e", true; "five voters tolerate two losses")]
fn the_loss_of_nodes_is_tolerated(machines: usize, names: &str, is_tolerated: bool) {
    assert_eq!(FaultTolerance::machines(machines).is_met_by(&zones(names)), is_tolerated);
}

#[test_case("a a b b c c", true; "a third of the voters in each zone")]
#[test_case("a a b b", false; "half of the voters in one zone")]
#[test_case("a a a b c", false; "most voters in one zone")]
#[test_case("a ? b", true; "a voter of unknown zone counts as a zone of its own")]
fn the_loss_of_a_zone_is_tolerated(names: &str, is_tolerated: bool) {
    let tolerance = FaultTolerance { zones: 1, ..FaultTolerance::default() };
    assert_eq!(tolerance.is_met_by(&zones(names)), is_tolerated);
}

#[test]
fn the_loss_of_a_region_is_the_loss_of_all_its_zones() {
    let region_of = [("a", "north"), ("b", "north"), ("c", "south"), ("d", "east")];
    let region_of = region_of.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into();
    let tolerance = FaultTolerance { regions: 1, region_of, ..FaultTolerance::default() };
    assert!(!tolerance.is_met_by(&zones("a b c")));
    assert!(tolerance.is_met_by(&zones("a c d")));
}
