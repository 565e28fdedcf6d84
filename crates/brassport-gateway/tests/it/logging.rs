//! Tests of the log level and of the environment variables that set it.

use brassport_gateway::logging::{level, FORMER_LEVEL_VARIABLE, LEVEL_VARIABLE};
use log::LevelFilter;

/// Returns the log level in an environment with the given variables.
fn level_of(variables: &[(&str, &str)]) -> LevelFilter {
    level(|name| variables.iter().find(|(set, _)| *set == name).map(|(_, value)| (*value).to_owned()))
}

#[test]
fn the_log_level_variables_keep_their_names() {
    assert_eq!((LEVEL_VARIABLE, FORMER_LEVEL_VARIABLE), ("BRASSPORT_GATEWAY_LOG", "JUNCTION_LOG"));
}

#[test]
fn the_former_variable_is_read_if_the_current_one_is_not_set() {
    assert_eq!(level_of(&[("JUNCTION_LOG", "debug")]), LevelFilter::Debug);
    assert_eq!(level_of(&[("BRASSPORT_GATEWAY_LOG", "warn")]), LevelFilter::Warn);
}

#[test]
fn the_current_variable_takes_precedence_over_the_former_one() {
    let both = [("JUNCTION_LOG", "debug"), ("BRASSPORT_GATEWAY_LOG", "error")];
    assert_eq!(level_of(&both), LevelFilter::Error);
}

#[test]
fn the_level_is_info_if_none_is_set_or_the_set_one_is_unknown() {
    assert_eq!(level_of(&[]), LevelFilter::Info);
    assert_eq!(level_of(&[("BRASSPORT_GATEWAY_LOG", "loud")]), LevelFilter::Info);
}
