//! Which sets of voters bear what may be lost at once.

use brassport_control_plane::FaultTolerance;
use test_case::test_case;

fn zones(names: &str) -> Vec<Option<&str>> {
    names.split_whitespace().map(|name| (name != "?").then_some(name)).collect()
}

#[test_case(1, "a b c", true; "three bear one")]
#[test_case(1, "a b", false; "two bear none")]
#[test_case(1, "a b c d", true; "four bear one")]
#[test_case(2, "a b c d", false; "and not two")]
#[test_case(2, "a b c d e", true; "five bear two")]
fn a_number_of_nodes_is_tolerated(machines: usize, names: &str, is_borne: bool) {
    assert_eq!(FaultTolerance::machines(machines).is_met_by(&zones(names)), is_borne);
}

#[test_case("a a b b c c", true; "a third stands in each")]
#[test_case("a a b b", false; "half stand in one")]
#[test_case("a a a b c", false; "most stand in one")]
#[test_case("a ? b", true; "one whose zone is not known stands alone")]
fn the_loss_of_a_zone_is_tolerated(names: &str, is_borne: bool) {
    let survive = FaultTolerance { zones: 1, ..FaultTolerance::default() };
    assert_eq!(survive.is_met_by(&zones(names)), is_borne);
}

#[test]
fn a_region_is_all_of_its_zones() {
    let region_of = [("a", "north"), ("b", "north"), ("c", "south"), ("d", "east")];
    let region_of = region_of.map(|(zone, region)| (zone.to_owned(), region.to_owned())).into();
    let survive = FaultTolerance { regions: 1, region_of, ..FaultTolerance::default() };
    assert!(!survive.is_met_by(&zones("a b c")));
    assert!(survive.is_met_by(&zones("a c d")));
}
