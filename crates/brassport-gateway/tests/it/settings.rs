//! The settings file: what each field means, and the texts that reject it, against the fixture `settings_faults`.

use crate::common::{GOLDEN, SETTINGS};
use brassport_gateway::settings::{ListenOn, Problem, Settings, SettingsError};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

#[test]
fn every_field_of_a_settings_file_is_read() {
    let settings = Settings::parse(SETTINGS).expect("it is sound");
    let at = |text: &str| text.parse::<SocketAddrV4>().ok();
    assert_eq!((settings.node.as_str(), settings.zone.as_str()), ("n1", "a"));
    assert_eq!(settings.ip, Ipv4Addr::new(10, 0, 1, 7));
    assert_eq!(settings.zones, ["a", "b"]);
    assert_eq!(
        (settings.listen_on.downstream, settings.listen_on.ready),
        (at("10.0.1.7:8080"), at("10.0.1.7:8081"))
    );
    assert_eq!((settings.listen_on.control, settings.port), (at("10.0.1.7:8381"), 9001));
    assert_eq!(settings.seeds, [Ipv4Addr::new(10, 0, 1, 7), Ipv4Addr::new(10, 0, 2, 9)]);
    assert!(settings.first_start && settings.is_core);
    assert_eq!((settings.open_files, settings.memory_mb), (4096, 512.5));
    assert_eq!(settings.data_folder, Some(PathBuf::from("/var/lib/brassport-gateway")));
    assert_eq!(settings.heartbeat_interval_s, 2.5);
    let tolerance = &settings.fault_tolerance;
    assert_eq!((tolerance.machines, tolerance.zones, tolerance.regions), (1, 1, 1));
    assert_eq!((tolerance.region_of["a"].as_str(), tolerance.region_of["b"].as_str()), ("north", "south"));
    let bounds = [("drainS", 3.5), ("loose", 0.0), ("retryRatio", 0.2), ("strict", 1.0)];
    assert_eq!(settings.bounds, BTreeMap::from(bounds.map(|(name, figure)| (name.to_owned(), figure))));
    assert_eq!((settings.bound("drainS", 2.0), settings.bound("note", 7.0)), (3.5, 7.0));
    let reached_at = (Ipv4Addr::new(10, 0, 2, 9), Ipv4Addr::new(192, 0, 2, 1));
    assert_eq!(settings.reached_at, BTreeMap::from([reached_at]));
    // The least that is needed, and what then holds.
    let least = Settings::parse("ip: 10.0.1.7\ninternalPorts: [9001]\n").expect("it is enough");
    assert_eq!((least.listen_on, least.data_folder), (ListenOn::default(), None));
    assert_eq!((least.open_files, least.memory_mb, least.heartbeat_interval_s), (1024, 256.0, 1.5));
    assert!(!least.first_start && !least.is_core && least.seeds.is_empty() && least.bounds.is_empty());
}

#[test]
fn invalid_settings_are_rejected_with_pinned_texts() {
    let but = |from: &str, to: &str| SETTINGS.replace(from, to);
    let cases = [
        ("nothing", String::new()),
        ("no YAML", "node: [".to_owned()),
        ("a list", "- a\n".to_owned()),
        ("ip", but("ip: 10.0.1.7", "ip: 10.0.1")),
        ("listenOn", but("'10.0.1.7:8080'", "here").replace("'10.0.1.7:8381'", "there")),
        ("seeds", but("'10.0.2.9:9001'", "10.0.2.9")),
        ("no internalPorts", but("internalPorts: [9001, 9002]", "")),
        ("internalPorts", but("[9001, 9002]", "[70000]")),
        ("bounds", but("strict=true", "strict")),
        ("reachedAt", but("192.0.2.1", "elsewhere")),
        ("firstStart", but("firstStart: true", "firstStart: 3")),
        ("limits", but("4096", "many")),
        ("survive", but("machines: 1", "machines: -1")),
        ("reportEveryS", but("reportEveryS: 2.5", "reportEveryS: often")),
        ("zones", but("{a: north, b: south}", "[a, b]")),
        ("all at once", but("10.0.1.7", "x").replace("strict=true", "strict").replace("9001, 9002", "")),
    ];
    let refused = |(name, text): (&str, String)| {
        let problems = Settings::parse(&text).expect_err(name);
        let problems: Vec<String> = problems.iter().map(Problem::to_string).collect();
        (name.to_owned(), problems.join("\n"))
    };
    let mut texts: Vec<(String, String)> = cases.map(refused).to_vec();
    let problems = ["one", "two"].map(|text| Problem::Io(std::io::Error::other(text)));
    let error = SettingsError { file: PathBuf::from("settings.yaml"), problems: problems.into() };
    let help = miette::Diagnostic::help(&error).map(|help| help.to_string()).unwrap_or_default();
    texts.push(("display".to_owned(), error.to_string()));
    texts.push(("help".to_owned(), help));
    GOLDEN.same_lines("settings_faults", &texts);
}

#[test]
fn errors_of_the_system_and_of_the_loader_are_sources() {
    use std::error::Error;
    let missing = Settings::read(std::path::Path::new("/nonexistent/settings.yaml")).expect_err("no file");
    assert!(missing.problems[0].source().is_some_and(|source| source.is::<std::io::Error>()));
    let problems = Settings::parse("node: [").expect_err("no YAML");
    assert!(matches!(&problems[..], [problem @ Problem::Malformed(_)] if problem.source().is_some()));
}
