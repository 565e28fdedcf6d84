//! Invalid documents and their errors.

use super::{bytes, error_text, example, example_document, route, set, without, KEYS};
use brassport_config_store::configuration::{Document, ValidationError};
use serde_json::{json, Value};
use test_case::test_case;

#[test_case(set("/hosts/0/paths/0/split/1/service", json!("gone")), "hosts[0].paths[0].split[1].service", "no service \"gone\""; "unknown service in a split")]
#[test_case(set("/hosts/1/paths/0/service", json!("gone")), "hosts[1].paths[0].service", "no service \"gone\""; "unknown service in a route")]
#[test_case(set("/hosts/0/paths/-", route("r-new", "/lepu270/", "huvo11a")), "hosts[0].paths[1]", "of hosts[0].paths[0]"; "same host and prefix")]
#[test_case(set("/hosts/-", json!({"host": "JEPU9.Example", "paths": [route("r-new", "/lepu270/", "huvo11a")]})), "hosts[2].paths[0]", "of hosts[0].paths[0]"; "same prefix under the host in upper case")]
#[test_case(set("/hosts/0/paths/-", route("r-two", "/other/", "huvo11a")), "hosts[1].paths[0]", "name \"r-two\" of hosts[0].paths[1]"; "two routes of one name")]
#[test_case(set("/hosts/1/paths/0/giveUpS", json!(600.5)), "hosts[1].paths[0].giveUpS", "over ten minutes"; "long timeout")]
#[test_case(set("/hosts/1/paths/0/giveUpS", json!(0)), "hosts[1].paths[0].giveUpS", "not above 0"; "timeout of 0")]
#[test_case(set("/hosts/1/paths/0/giveUpS", json!(-2)), "hosts[1].paths[0].giveUpS", "not above 0"; "negative timeout")]
#[test_case(without("/hosts/1/paths/0/giveUpS"), "hosts[1].paths[0].giveUpS", "is missing"; "no timeout")]
#[test_case(set("/hosts/1/paths/0/giveUpS", Value::Null), "hosts[1].paths[0].giveUpS", "is missing"; "null timeout")]
#[test_case(set("/hosts/1/paths/0/giveUpS", json!("2")), "hosts[1].paths[0].giveUpS", "is a text, but"; "timeout as a text")]
#[test_case(set("/hosts/1/paths/0/goalS", json!(0)), "hosts[1].paths[0].goalS", "not above 0"; "latency target of 0")]
#[test_case(set("/hosts/1/paths/0/goalS", json!(-0.5)), "hosts[1].paths[0].goalS", "not above 0"; "negative latency target")]
#[test_case(set("/hosts/0/paths/0/pathStart", json!("lepu270/")), "hosts[0].paths[0].pathStart", "not begin with a slash"; "prefix without its first slash")]
#[test_case(set("/hosts/0/paths/0/pathStart", json!("/lepu270")), "hosts[0].paths[0].pathStart", "not end with a slash"; "prefix without its final slash")]
#[test_case(set("/hosts/0/paths/0/pathStart", json!("")), "hosts[0].paths[0].pathStart", "not begin with a slash"; "empty prefix")]
#[test_case(without("/hosts/0/paths/0/pathStart"), "hosts[0].paths[0].pathStart", "is missing"; "no prefix")]
#[test_case(set("/hosts/1/host", json!("")), "hosts[1].host", "is empty"; "empty host")]
#[test_case(set("/hosts/1/host", json!(" ")), "hosts[1].host", "is empty"; "blank host")]
#[test_case(without("/hosts/1/host"), "hosts[1].host", "is missing"; "no host")]
#[test_case(set("/customers/1/keys/-", json!(KEYS[0])), "customers[1].keys[1]", "is the key at customers[0].keys[0]"; "shared key")]
#[test_case(set("/customers/0/keys/-", json!(KEYS[0])), "customers[0].keys[2]", "is the key at customers[0].keys[0]"; "a key twice")]
#[test_case(set("/customers/1/keys/-", json!("")), "customers[1].keys[1]", "is empty"; "empty key")]
#[test_case(set("/customers/1/keys", json!(KEYS[2])), "customers[1].keys", "is a text, but"; "keys as a text")]
#[test_case(set("/customers/1/keys/0", json!({KEYS[2]: KEYS[2]})), "customers[1].keys", "is a list, but"; "a key as an object")]
#[test_case(set("/customers/1/name", json!("yefi830")), "customers[1]", "name \"yefi830\" of customers[0]"; "two tenants of one name")]
#[test_case(without("/customers/1/name"), "customers[1].name", "is missing"; "tenant without a name")]
#[test_case(set("/customers/1/name", json!("a\r\nb")), "customers[1].name", "control character"; "line break in a tenant's name")]
#[test_case(set("/customers/0/ratePerS", json!(-1)), "customers[0].ratePerS", "is negative"; "negative rate")]
#[test_case(set("/customers/0/burst", json!(-0.5)), "customers[0].burst", "is negative"; "negative burst")]
#[test_case(set("/services/-", json!({"name": "wuno96b"})), "services[3]", "name \"wuno96b\" of services[1]"; "two services of one name")]
#[test_case(set("/services/2/healthPath", json!("/a b")), "services[2].healthPath", "has a space"; "space in a path")]
#[test_case(set("/hosts/0/paths/0/split", json!([{"service": "huvo11a", "weight": 0}])), "hosts[0].paths[0]", "goes to no service"; "weights of 0")]
#[test_case(set("/hosts/0/paths/0/split", json!([])), "hosts[0].paths[0]", "goes to no service"; "empty split")]
#[test_case(without("/hosts/1/paths/0/service"), "hosts[1].paths[0]", "goes to no service"; "neither service nor split")]
#[test_case(without("/hosts/0/paths/0/split/1/weight"), "hosts[0].paths[0].split[1].weight", "is missing"; "no weight")]
#[test_case(set("/hosts/0/paths/0/split/1/weight", json!(-1)), "hosts[0].paths[0].split", "is a list, but"; "negative weight")]
#[test_case(set("/hosts/0/paths/0/tries", json!(0)), "hosts[0].paths[0].tries", "is 0"; "tries of 0")]
#[test_case(set("/hosts/0/paths/0/kind", json!("maybe")), "hosts[0].paths[0].kind", "`safe` or `unsafe`"; "unknown kind")]
#[test_case(set("/hosts/0/paths/0", json!(7)), "hosts[0].paths[0]", "an object is wanted"; "route as a number")]
#[test_case(set("/hosts/0", json!([])), "hosts[0]", "an object is wanted"; "host as a list")]
#[test_case(set("/hosts", json!({})), "hosts", "a list is wanted"; "hosts as an object")]
#[test_case(set("/limits", json!([])), "limits", "an object is wanted"; "limits as a list")]
#[test_case(set("/limits/idleWaitS", json!(-1)), "limits.idleWaitS", "is negative"; "negative limit")]
#[test_case(without("/version"), "version", "is missing"; "no version")]
#[test_case(set("/version", json!(7)), "version", "eight hexadecimal digits"; "version as a number")]
#[test_case(set("/version", json!("00x00007")), "version", "eight hexadecimal digits"; "version with a letter that is no hexadecimal digit")]
#[test_case(set("/version", json!("00000000")), "version", "not above the current 00000000"; "version 0")]
fn an_invalid_document_is_rejected_with_its_one_error(document: Value, path: &str, message: &str) {
    let errors = Document::empty().replace(&bytes(&document)).unwrap_err();
    let text = error_text(&errors);
    assert_eq!(errors.0.len(), 1, "{text}");
    assert_eq!(errors.0[0].path(), path);
    assert!(text.contains(message), "{text}");
    assert!(!errors.0[0].help().is_empty());
}

#[test_case("00000007", false; "the same")]
#[test_case("00000006", false; "below")]
#[test_case("00000008", true; "just above")]
#[test_case("0000000A", true; "in upper case")]
#[test_case("ffffffff", true; "the last")]
fn a_version_has_to_be_above_the_current_one(version: &str, is_accepted: bool) {
    let document = set("/version", json!(version));
    assert_eq!(example_document().replace(&bytes(&document)).is_ok(), is_accepted);
    assert_eq!(example_document().change(&bytes(&json!({ "version": version }))).is_ok(), is_accepted);
}

#[test_case(b""; "nothing")]
#[test_case(b"[]"; "a list")]
#[test_case(b"null"; "null")]
#[test_case(b"\"x\""; "a text")]
#[test_case(b"{\"version\":\"00000009\"} x"; "more after the end")]
#[test_case(b"{\"version\":\"00000009\",\"put\":{\"hosts\":[1e999]}}"; "a number out of range")]
#[test_case(b"\xff\xfe"; "invalid UTF-8")]
fn a_body_that_is_no_json_object_is_rejected(body: &[u8]) {
    error_text(&Document::empty().replace(body).unwrap_err());
    error_text(&example_document().change(body).unwrap_err());
    error_text(&Document::from_bytes(body).unwrap_err());
}

#[test]
fn a_truncated_body_is_rejected_with_line_and_column() {
    let complete = bytes(&example());
    for end in 0..complete.len() {
        let errors = Document::empty().replace(&complete[..end]).unwrap_err();
        assert!(
            matches!(errors.0[..], [ValidationError::InvalidJson { line: 1, column, .. }] if column <= end)
        );
        error_text(&errors);
    }
    let errors = Document::empty().replace(b"{\n  \"version\": ?\n}").unwrap_err();
    assert!(matches!(errors.0[..], [ValidationError::InvalidJson { line: 2, column: 14, .. }]), "{errors:?}");
}

#[test]
fn all_errors_are_reported_together() {
    let mut document = example();
    document["version"] = json!("");
    document["services"][0]["tls"] = json!("no");
    document["hosts"][0]["paths"][0]["kind"] = json!("maybe");
    document["hosts"][0]["paths"][0]["tries"] = json!(0);
    document["hosts"][1]["host"] = json!("");
    document["hosts"][1]["paths"][0]["service"] = json!("gone");
    document["customers"][1]["keys"] = json!([KEYS[0], 5]);
    document["customers"][1]["burst"] = json!(-1);
    let errors = Document::empty().replace(&bytes(&document)).unwrap_err();
    let text = error_text(&errors);
    let paths: Vec<&str> = errors.iter().map(ValidationError::path).collect();
    let expected = [
        "version",
        "services[0].tls",
        "customers[1].keys",
        "customers[1].burst",
        "hosts[0].paths[0].kind",
        "hosts[0].paths[0].tries",
        "hosts[1].host",
        "hosts[1].paths[0].service",
    ];
    assert_eq!(paths, expected, "{text}");
    assert_eq!(text.lines().count(), expected.len());
}
