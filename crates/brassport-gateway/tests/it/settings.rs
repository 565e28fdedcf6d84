//! Tests of the settings file: the value read from each field, and the error messages for invalid files, which are
//! compared with the fixture `settings_faults`.

use crate::common::{GOLDEN, SETTINGS};
use brassport_gateway::settings::{ListenAddresses, Problem, Settings, SettingsError};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

#[test]
fn all_fields_are_read_and_optional_ones_have_defaults() {
    let settings = Settings::parse(SETTINGS).expect("the settings are valid");
    let address = |text: &str| text.parse::<SocketAddrV4>().ok();
    assert_eq!((settings.node.as_str(), settings.zone.as_str()), ("n1", "a"));
    assert_eq!(settings.ip, Ipv4Addr::new(10, 0, 1, 7));
    assert_eq!(settings.zones, ["a", "b"]);
    assert_eq!(
        (settings.listen_on.downstream, settings.listen_on.ready),
        (address("10.0.1.7:8080"), address("10.0.1.7:8081"))
    );
    assert_eq!((settings.listen_on.control, settings.internal_port), (address("10.0.1.7:8381"), 9001));
    assert_eq!(settings.seeds, [Ipv4Addr::new(10, 0, 1, 7), Ipv4Addr::new(10, 0, 2, 9)]);
    assert!(settings.first_start && settings.is_core);
    assert_eq!((settings.open_files, settings.memory_mb), (4096, 512.5));
    assert_eq!(settings.data_folder, Some(PathBuf::from("/var/lib/brassport-gateway")));
    assert_eq!(settings.heartbeat_interval_s, 2.5);
    let tolerance = &settings.fault_tolerance;
    assert_eq!((tolerance.machines, tolerance.zones, tolerance.regions), (1, 1, 1));
    assert_eq!((tolerance.region_of["a"].as_str(), tolerance.region_of["b"].as_str()), ("north", "south"));
    let parameters = [("drainS", 3.5), ("loose", 0.0), ("retryRatio", 0.2), ("strict", 1.0)];
    assert_eq!(settings.parameters, BTreeMap::from(parameters.map(|(name, value)| (name.to_owned(), value))));
    assert_eq!((settings.parameter("drainS", 2.0), settings.parameter("note", 7.0)), (3.5, 7.0));
    let address_override = (Ipv4Addr::new(10, 0, 2, 9), Ipv4Addr::new(192, 0, 2, 1));
    assert_eq!(settings.address_overrides, BTreeMap::from([address_override]));
    // Only the required fields: all others have their defaults.
    let minimal =
        Settings::parse("ip: 10.0.1.7\ninternalPorts: [9001]\n").expect("minimal settings are valid");
    assert_eq!((minimal.listen_on, minimal.data_folder), (ListenAddresses::default(), None));
    assert_eq!((minimal.open_files, minimal.memory_mb, minimal.heartbeat_interval_s), (1024, 256.0, 1.5));
    assert!(
        !minimal.first_start && !minimal.is_core && minimal.seeds.is_empty() && minimal.parameters.is_empty()
    );
}

#[test]
fn invalid_settings_are_rejected_with_the_expected_messages() {
    let replace = |from: &str, to: &str| SETTINGS.replace(from, to);
    let cases = [
        ("nothing", String::new()),
        ("no YAML", "node: [".to_owned()),
        ("a list", "- a\n".to_owned()),
        ("ip", replace("ip: 10.0.1.7", "ip: 10.0.1")),
        ("listenOn", replace("'10.0.1.7:8080'", "here").replace("'10.0.1.7:8381'", "there")),
        ("seeds", replace("'10.0.2.9:9001'", "10.0.2.9")),
        ("no internalPorts", replace("internalPorts: [9001, 9002]", "")),
        ("internalPorts", replace("[9001, 9002]", "[70000]")),
        ("bounds", replace("strict=true", "strict")),
        ("reachedAt", replace("192.0.2.1", "elsewhere")),
        ("firstStart", replace("firstStart: true", "firstStart: 3")),
        ("limits", replace("4096", "many")),
        ("survive", replace("machines: 1", "machines: -1")),
        ("reportEveryS", replace("reportEveryS: 2.5", "reportEveryS: often")),
        ("zones", replace("{a: north, b: south}", "[a, b]")),
        ("all at once", replace("10.0.1.7", "x").replace("strict=true", "strict").replace("9001, 9002", "")),
    ];
    let rejection = |(name, text): (&str, String)| {
        let problems = Settings::parse(&text).expect_err(name);
        let problems: Vec<String> = problems.iter().map(Problem::to_string).collect();
        (name.to_owned(), problems.join("\n"))
    };
    let mut texts: Vec<(String, String)> = cases.map(rejection).to_vec();
    let problems = ["one", "two"].map(|text| Problem::Io(std::io::Error::other(text)));
    let error = SettingsError { file: PathBuf::from("settings.yaml"), problems: problems.into() };
    let help = miette::Diagnostic::help(&error).map(|help| help.to_string()).unwrap_or_default();
    texts.push(("display".to_owned(), error.to_string()));
    texts.push(("help".to_owned(), help));
    GOLDEN.same_lines("settings_faults", &texts);
}

#[test]
fn io_and_parser_errors_are_error_sources() {
    use std::error::Error;
    let missing = Settings::read(std::path::Path::new("/nonexistent/settings.yaml"))
        .expect_err("the file does not exist");
    assert!(missing.problems[0].source().is_some_and(|source| source.is::<std::io::Error>()));
    let problems = Settings::parse("node: [").expect_err("the text is not YAML");
    assert!(matches!(&problems[..], [problem @ Problem::Malformed(_)] if problem.source().is_some()));
}
