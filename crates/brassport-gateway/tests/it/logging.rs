//! The level of the log, and the variable that names it.

use brassport_gateway::logging::level;
use log::LevelFilter;

/// The level in an environment of these variables.
fn level_of(variables: &[(&str, &str)]) -> LevelFilter {
    level(|name| variables.iter().find(|(set, _)| *set == name).map(|(_, value)| (*value).to_owned()))
}

#[test]
fn the_level_is_info_where_none_is_named() {
    assert_eq!(level_of(&[]), LevelFilter::Info);
    assert_eq!(level_of(&[("BRASSPORT_GATEWAY_LOG", "loud")]), LevelFilter::Info);
}
