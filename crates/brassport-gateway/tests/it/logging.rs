//! The level of the log, and the variables that name it.

use brassport_gateway::logging::{level, FORMER_LEVEL_VARIABLE, LEVEL_VARIABLE};
use log::LevelFilter;

/// The level in an environment of these variables.
fn level_of(variables: &[(&str, &str)]) -> LevelFilter {
    level(|name| variables.iter().find(|(set, _)| *set == name).map(|(_, value)| (*value).to_owned()))
}

#[test]
fn the_variables_have_these_names() {
    assert_eq!((LEVEL_VARIABLE, FORMER_LEVEL_VARIABLE), ("BRASSPORT_GATEWAY_LOG", "JUNCTION_LOG"));
}

#[test]
fn the_former_variable_is_read_where_the_present_one_is_not_set() {
    assert_eq!(level_of(&[("JUNCTION_LOG", "debug")]), LevelFilter::Debug);
    assert_eq!(level_of(&[("BRASSPORT_GATEWAY_LOG", "warn")]), LevelFilter::Warn);
}

#[test]
fn the_present_variable_goes_before_the_former_one() {
    let both = [("JUNCTION_LOG", "debug"), ("BRASSPORT_GATEWAY_LOG", "error")];
    assert_eq!(level_of(&both), LevelFilter::Error);
}

#[test]
fn the_level_is_info_where_none_is_named() {
    assert_eq!(level_of(&[]), LevelFilter::Info);
    assert_eq!(level_of(&[("BRASSPORT_GATEWAY_LOG", "loud")]), LevelFilter::Info);
}
