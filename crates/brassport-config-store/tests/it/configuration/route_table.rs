//! Route lookups, differences between configurations, and parsing of versions.

use super::{assert_no_key_in, bytes, example_document, route, KEYS};
use brassport_config_store::configuration::{difference, Difference, Document, RouteTable, Version};
use serde_json::{json, Value};
use std::time::Instant;
use test_case::test_case;

#[test_case("a.example", "/", Some("root"); "the root")]
#[test_case("A.EXAMPLE:8443", "/x", Some("root"); "upper case and a port")]
#[test_case("a.example", "/a", Some("root"); "a segment without its slash")]
#[test_case("a.example", "/a/", Some("a"); "the prefix itself")]
#[test_case("a.example", "/a/b", Some("a"); "the path without the final slash of the longest prefix")]
#[test_case("a.example", "/a/b/c/d", Some("ab"); "the longest")]
#[test_case("a.example", "/ab/", Some("root"); "another segment")]
#[test_case("a.example", "/A/b/", Some("root"); "paths keep their case")]
#[test_case("a.example", "", None; "no path")]
#[test_case("a.example", "*", None; "an asterisk")]
#[test_case("b.example", "/b/x", Some("b"); "another host")]
#[test_case("b.example", "/x", None; "no route")]
#[test_case("b.example", "/ü/b/", None; "letters outside ASCII")]
#[test_case("[::1]:80", "/x", Some("six"); "an IPv6 address with a port")]
#[test_case("[::1]", "/x", Some("six"); "an IPv6 address")]
#[test_case("c.example", "/", None; "unknown host")]
#[test_case("", "/", None; "no host")]
fn the_longest_prefix_wins(host: &str, path: &str, name: Option<&str>) {
    let document = json!({"version": "1", "services": [{"name": "s"}], "hosts": [
        {"host": "a.example", "paths": [route("a", "/a/", "s"), route("root", "/", "s"), route("ab", "/a/b/", "s")]},
        {"host": "b.example", "paths": [route("b", "/b/", "s")]},
        {"host": "[::1]", "paths": [route("six", "/", "s")]}
    ]});
    let document = Document::empty().replace(&bytes(&document)).unwrap();
    let table = RouteTable::new(document.configuration());
    assert_eq!(table.route(host, path).map(|route| route.name.as_str()), name);
}

#[test]
fn keys_find_their_tenants() {
    let table = RouteTable::new(example_document().configuration());
    assert_eq!(table.tenant(KEYS[1]).unwrap().name, "yefi830");
    assert_eq!(table.tenant(KEYS[2]).unwrap().name, "zola12");
    assert!(table.tenant("").is_none());
    assert!(table.tenant("XD9DNN2CTNFZS989ANU6").is_none());
}

#[test]
fn differences_are_listed_one_per_line() {
    let change = json!({"version": "00000009", "remove": {"routes": ["r-two"], "customers": ["zola12"]}, "put": {
        "services": [{"name": "new"}, {"name": "huvo11a", "maxConnections": 7}],
        "customers": [
            {"name": "yefi830", "keys": [KEYS[0], "a", "b"], "rank": 1, "ratePerS": 50, "burst": 12.5},
            {"name": "third", "keys": [KEYS[2]]}
        ],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1048576, "headerWaitS": 2, "idleWaitS": 4},
        "hosts": [{"host": "x.example", "paths": [route("r-one", "/lepu270/", "new"), route("r-new", "/", "new")]}]
    }});
    let before = example_document();
    let after = before.change(&bytes(&change)).unwrap();
    let found = difference(before.configuration(), after.configuration());
    let lines: Vec<String> = found.iter().map(Difference::to_string).collect();
    let expected = [
        "route r-new: added at x.example/",
        "route r-one: moved from jepu9.example/lepu270/ to x.example/lepu270/",
        "route r-one: goes to new (1) instead of huvo11a (90) + kafi81c (10)",
        "route r-one: giveUpS 1.5 -> 2.0, goalS 0.4 -> 0.5, rank 2 -> 0, tries 2 -> 1",
        "route r-two: removed from hulo84.example/xapu221/ny95/",
        "service huvo11a: maxConnections 130 -> 7",
        "service new: added",
        "tenant third: added, keys: 1",
        "tenant yefi830: keys added: 2, removed: 1",
        "tenant yefi830: ratePerS 123.0 -> 50.0",
        "tenant zola12: removed, keys: 1",
        "limits: idleWaitS 15.0 -> 4.0",
    ];
    assert_eq!(lines, expected);
    assert_no_key_in(&lines.join("\n"));
    assert_eq!(difference(after.configuration(), after.configuration()), []);
}

#[test_case("0", Some(0); "zero")]
#[test_case("0000000c", Some(12); "eight digits")]
#[test_case("ffffffff", Some(u32::MAX); "the largest")]
#[test_case("", None; "nothing")]
#[test_case("+000000c", None; "a sign")]
#[test_case("00000000c", None; "nine digits")]
#[test_case("0000000g", None; "another letter")]
fn versions_are_hexadecimal(text: &str, value: Option<u32>) {
    assert_eq!(text.parse::<Version>().ok(), value.map(Version));
    if let Some(value) = value {
        assert_eq!(Version(value).to_string().parse(), Ok(Version(value)));
        assert_eq!(Version(value).to_string().len(), 8);
    }
}

/// Prints the time that operations on a configuration of 350 routes take. Run it in release mode with
/// `--ignored --nocapture`.
#[test]
#[ignore = "a benchmark, which checks nothing"]
fn timing_of_350_routes() {
    let paths = |host: usize| -> Vec<Value> {
        (0..10).map(|at| route(&format!("r-{host}-{at}"), &format!("/p{at}/q/"), "s")).collect()
    };
    let hosts: Vec<Value> =
        (0..35).map(|host| json!({"host": format!("h{host}.example"), "paths": paths(host)})).collect();
    let customers: Vec<Value> =
        (0..50).map(|at| json!({"name": format!("t{at}"), "keys": [format!("k{at}")]})).collect();
    let document =
        json!({"version": "1", "services": [{"name": "s"}], "customers": customers, "hosts": hosts});
    let body = bytes(&document);
    let change = bytes(&json!({"version": "2", "put": {"hosts": [
        {"host": "h3.example", "paths": [route("r-3-4", "/p4/r/", "s")]}
    ]}}));
    let best = |what: &str, run: &dyn Fn()| {
        let times = (0..50).map(|_| {
            let start = Instant::now();
            run();
            start.elapsed()
        });
        println!("{what}: best of 50 {:?}", times.min().unwrap());
    };
    let before = Document::empty().replace(&body).unwrap();
    let table = RouteTable::new(before.configuration());
    println!("body: {} bytes", body.len());
    best("replace", &|| drop(Document::empty().replace(&body).unwrap()));
    best("change", &|| drop(before.change(&change).unwrap()));
    best("route table", &|| drop(RouteTable::new(before.configuration())));
    best("1000 routes found", &|| {
        for _ in 0..1000 {
            assert!(table.route("h30.example", "/p4/q/x/y").is_some());
        }
    });
}
