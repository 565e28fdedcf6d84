//! The operator's configuration: what is refused, how a change applies, and what the doors read.

use brassport_config_store::configuration::{
    difference, Configuration, Difference, Document, Idempotency, Limits, RouteTable, ValidationError,
    ValidationErrors, Version,
};
use serde_json::{json, Value};
use std::time::Instant;
use test_case::test_case;

const KEYS: [&str; 3] = ["xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8", "k0000000000000000003"];

/// The example of the protocol, with a second tenant and a field nobody knows.
fn example() -> Value {
    json!({
        "version": "00000007",
        "note": {"by": "the operator", "share": 0.1},
        "services": [
            {"name": "huvo11a", "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false},
            {"name": "wuno96b", "healthPath": "/well", "maxConnections": 120, "protocol": "h1", "tls": true},
            {"name": "kafi81c", "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false}
        ],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1048576, "headerWaitS": 2, "idleWaitS": 15},
        "customers": [
            {"name": "yefi830", "keys": [KEYS[0], KEYS[1]], "rank": 1, "ratePerS": 123, "burst": 12.5},
            {"name": "zola12", "keys": [KEYS[2]], "colour": "red"}
        ],
        "hosts": [
            {"host": "jepu9.example", "paths": [
                {"name": "r-one", "pathStart": "/lepu270/", "kind": "safe", "giveUpS": 1.5, "goalS": 0.4,
                 "rank": 2, "split": [{"service": "huvo11a", "weight": 90}, {"service": "kafi81c", "weight": 10}],
                 "tries": 2, "public": false, "extra": [1, 2]}
            ]},
            {"host": "hulo84.example", "paths": [
                {"name": "r-two", "pathStart": "/xapu221/ny95/", "kind": "unsafe", "giveUpS": 2, "goalS": 0.5,
                 "rank": 1, "service": "wuno96b", "tries": 3, "public": true}
            ]}
        ]
    })
}

fn bytes(value: &Value) -> Vec<u8> {
    serde_json::to_vec(value).unwrap()
}

fn first() -> Document {
    Document::empty().replace(&bytes(&example())).unwrap()
}

/// The example with the value at a JSON pointer's place set, or taken away.
fn edited(place: &str, to: Option<Value>) -> Value {
    let mut document = example();
    let (parent, field) = place.rsplit_once('/').unwrap();
    match (document.pointer_mut(parent).unwrap(), to) {
        (Value::Object(object), Some(value)) => {
            object.insert(field.to_owned(), value);
        }
        (Value::Object(object), None) => {
            object.remove(field).unwrap();
        }
        (Value::Array(list), Some(value)) => match field.parse::<usize>() {
            Ok(place) => list[place] = value,
            Err(_) => list.push(value),
        },
        _ => panic!("nothing to take away at {place}"),
    }
    document
}

fn set(place: &str, to: Value) -> Value {
    edited(place, Some(to))
}

fn without(place: &str) -> Value {
    edited(place, None)
}

fn route(name: &str, path_prefix: &str, service: &str) -> Value {
    json!({"name": name, "pathStart": path_prefix, "kind": "safe", "giveUpS": 2, "goalS": 0.5, "rank": 0,
           "service": service, "tries": 1, "public": false})
}

fn no_key_in(text: &str) {
    for key in KEYS {
        assert!(!text.contains(key), "{text}");
    }
}

/// What a refused body's faults say, one a line.
fn told(faults: &ValidationErrors) -> String {
    assert!(!faults.0.is_empty());
    let text = faults.to_string();
    no_key_in(&text);
    no_key_in(&format!("{faults:?}"));
    text
}

const R: &str = "/hosts/0/paths/0";

#[test_case(set("/hosts/0/paths/0/split/1/service", json!("gone")), "hosts[0].paths[0].split[1].service", "no service \"gone\""; "unknown service in a split")]
#[test_case(set("/hosts/1/paths/0/service", json!("gone")), "hosts[1].paths[0].service", "no service \"gone\""; "unknown service in a route")]
#[test_case(set("/hosts/0/paths/-", route("r-new", "/lepu270/", "huvo11a")), "hosts[0].paths[1]", "of hosts[0].paths[0]"; "same place")]
#[test_case(set("/hosts/-", json!({"host": "JEPU9.Example", "paths": [route("r-new", "/lepu270/", "huvo11a")]})), "hosts[2].paths[0]", "of hosts[0].paths[0]"; "same prefix under the host in upper case")]
#[test_case(set("/hosts/0/paths/-", route("r-two", "/other/", "huvo11a")), "hosts[1].paths[0]", "name \"r-two\" of hosts[0].paths[1]"; "two routes of one name")]
#[test_case(set("/hosts/1/paths/0/giveUpS", json!(600.5)), "hosts[1].paths[0].giveUpS", "over ten minutes"; "long timeout")]
#[test_case(set("/hosts/1/paths/0/giveUpS", json!(0)), "hosts[1].paths[0].giveUpS", "not above 0"; "timeout of 0")]
#[test_case(set("/hosts/1/paths/0/giveUpS", json!(-2)), "hosts[1].paths[0].giveUpS", "not above 0"; "negative timeout")]
#[test_case(without("/hosts/1/paths/0/giveUpS"), "hosts[1].paths[0].giveUpS", "is missing"; "no timeout")]
#[test_case(set("/hosts/1/paths/0/giveUpS", Value::Null), "hosts[1].paths[0].giveUpS", "is missing"; "null timeout")]
#[test_case(set("/hosts/1/paths/0/giveUpS", json!("2")), "hosts[1].paths[0].giveUpS", "is a text, but"; "timeout as a text")]
#[test_case(set("/hosts/1/paths/0/goalS", json!(0)), "hosts[1].paths[0].goalS", "not above 0"; "goal of 0")]
#[test_case(set("/hosts/1/paths/0/goalS", json!(-0.5)), "hosts[1].paths[0].goalS", "not above 0"; "negative goal")]
#[test_case(set("/hosts/0/paths/0/pathStart", json!("lepu270/")), "hosts[0].paths[0].pathStart", "not begin with a slash"; "bare prefix")]
#[test_case(set("/hosts/0/paths/0/pathStart", json!("/lepu270")), "hosts[0].paths[0].pathStart", "not end with a slash"; "prefix without an end")]
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
#[test_case(set("/version", json!("00x00007")), "version", "eight hexadecimal digits"; "version of other letters")]
#[test_case(set("/version", json!("00000000")), "version", "not above the current 00000000"; "version 0")]
fn an_invalid_document_is_rejected_with_its_one_error(document: Value, at: &str, what: &str) {
    let faults = Document::empty().replace(&bytes(&document)).unwrap_err();
    let text = told(&faults);
    assert_eq!(faults.0.len(), 1, "{text}");
    assert_eq!(faults.0[0].at(), at);
    assert!(text.contains(what), "{text}");
    assert!(!faults.0[0].help().is_empty());
}

#[test_case("00000007", false; "the same")]
#[test_case("00000006", false; "below")]
#[test_case("00000008", true; "just above")]
#[test_case("0000000A", true; "in upper case")]
#[test_case("ffffffff", true; "the last")]
fn a_version_has_to_be_above_the_current_one(version: &str, taken: bool) {
    let document = set("/version", json!(version));
    assert_eq!(first().replace(&bytes(&document)).is_ok(), taken);
    assert_eq!(first().change(&bytes(&json!({ "version": version }))).is_ok(), taken);
}

#[test_case(b""; "nothing")]
#[test_case(b"[]"; "a list")]
#[test_case(b"null"; "null")]
#[test_case(b"\"x\""; "a text")]
#[test_case(b"{\"version\":\"00000009\"} x"; "more after the end")]
#[test_case(b"{\"version\":\"00000009\",\"put\":{\"hosts\":[1e999]}}"; "a number out of range")]
#[test_case(b"\xff\xfe"; "no text")]
fn a_body_that_is_no_json_object_is_rejected(body: &[u8]) {
    told(&Document::empty().replace(body).unwrap_err());
    told(&first().change(body).unwrap_err());
    told(&Document::from_bytes(body).unwrap_err());
}

#[test]
fn a_truncated_body_is_rejected_with_line_and_column() {
    let whole = bytes(&example());
    for end in 0..whole.len() {
        let faults = Document::empty().replace(&whole[..end]).unwrap_err();
        assert!(
            matches!(faults.0[..], [ValidationError::Unreadable { line: 1, column, .. }] if column <= end)
        );
        told(&faults);
    }
    let faults = Document::empty().replace(b"{\n  \"version\": ?\n}").unwrap_err();
    assert!(matches!(faults.0[..], [ValidationError::Unreadable { line: 2, column: 14, .. }]), "{faults:?}");
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
    let faults = Document::empty().replace(&bytes(&document)).unwrap_err();
    let text = told(&faults);
    let at: Vec<&str> = faults.iter().map(ValidationError::at).collect();
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
    assert_eq!(at, expected, "{text}");
    assert_eq!(text.lines().count(), expected.len());
}

#[test]
fn the_example_is_parsed_field_by_field() {
    let document = first();
    let read = document.configuration();
    assert_eq!(document.version(), Version(7));
    assert_eq!(read.version, Version(7));
    assert!(read.has_keys);
    assert_eq!(
        read.limits,
        Limits { max_header_bytes: 8192, max_body_bytes: 1_048_576, header_wait_s: 2.0, idle_wait_s: 15.0 }
    );
    let service = &read.services["wuno96b"];
    assert_eq!((service.health_path.as_str(), service.max_connections, service.tls), ("/well", 120, true));
    assert_eq!(service.protocol, "h1");
    let [one, two] = &read.routes[..] else { panic!("{read:?}") };
    assert_eq!((one.name.as_str(), one.host.as_str()), ("r-one", "jepu9.example"));
    assert_eq!((one.path_prefix.as_str(), one.kind, one.public), ("/lepu270/", Idempotency::Safe, false));
    assert_eq!((one.timeout_s, one.latency_target_s, one.rank, one.max_attempts), (1.5, 0.4, 2, 2));
    assert_eq!(one.targets, [("huvo11a".to_owned(), 90), ("kafi81c".to_owned(), 10)]);
    assert_eq!((two.kind, two.public, two.max_attempts), (Idempotency::Unsafe, true, 3));
    assert_eq!(two.targets, [("wuno96b".to_owned(), 1)]);
    let tenant = &read.tenants["yefi830"];
    assert_eq!((tenant.keys.len(), tenant.rank, tenant.rate_per_s, tenant.burst), (2, 1, 123.0, 12.5));
    let tenant = &read.tenants["zola12"];
    assert_eq!((tenant.rank, tenant.rate_per_s, tenant.burst), (0, 0.0, 0.0));
}

#[test]
fn omitted_fields_have_their_defaults() {
    let mut document = example();
    let fields = document.as_object_mut().unwrap();
    fields.remove("limits");
    fields.remove("customers");
    fields.insert("services".to_owned(), json!([{"name": "s"}]));
    let route = json!({"name": "r", "pathStart": "/", "giveUpS": 3, "service": "s"});
    fields.insert("hosts".to_owned(), json!([{"host": "A.Example:8080", "paths": [route]}, {"host": "b"}]));
    let document = Document::empty().replace(&bytes(&document)).unwrap();
    let read = document.configuration();
    assert_eq!(read.limits, Limits::default());
    assert!(!read.has_keys && read.tenants.is_empty());
    let route = &read.routes[0];
    assert_eq!(
        (route.host.as_str(), route.kind, route.latency_target_s),
        ("a.example", Idempotency::Unsafe, 3.0)
    );
    assert_eq!((route.rank, route.max_attempts, route.public), (0, 1, false));
    assert_eq!(
        (read.services["s"].health_path.as_str(), read.services["s"].max_connections),
        ("/health", 100)
    );
}

#[test]
fn limits_of_0_are_the_defaults_and_a_timeout_of_600_s_is_allowed() {
    let document = set("/limits", json!({"maxBodyBytes": 0, "idleWaitS": 0}));
    assert_eq!(
        Document::empty().replace(&bytes(&document)).unwrap().configuration().limits,
        Limits::default()
    );
    let document = set("/hosts/1/paths/0/giveUpS", json!(600));
    assert_eq!(
        Document::empty().replace(&bytes(&document)).unwrap().configuration().routes[1].timeout_s,
        600.0
    );
}

#[test]
fn a_target_of_weight_0_is_left_out() {
    let document = set(&format!("{R}/split/1/weight"), json!(0));
    let document = Document::empty().replace(&bytes(&document)).unwrap();
    assert_eq!(document.configuration().routes[0].targets, [("huvo11a".to_owned(), 90)]);
}

#[test]
fn a_document_round_trips_through_its_bytes() {
    let document = first();
    let bytes = document.to_bytes();
    assert_eq!(serde_json::from_slice::<Value>(&bytes).unwrap(), example());
    let again = Document::from_bytes(&bytes).unwrap();
    assert_eq!(again, document);
    assert_eq!(again.to_bytes(), bytes);
    let empty = Document::empty();
    assert_eq!(empty.version(), Version(0));
    assert_eq!(empty.configuration(), &Configuration::default());
    assert_eq!(Document::from_bytes(&empty.to_bytes()).unwrap(), empty);
}

#[test]
fn keys_are_never_printed() {
    let document = first();
    no_key_in(&format!("{document:?}"));
    no_key_in(&format!("{:#?}", document.configuration()));
    no_key_in(&format!("{:?}", RouteTable::new(document.configuration())));
    no_key_in(&format!("{:?}", difference(&Configuration::default(), document.configuration())));
}

#[test]
fn remove_undoes_put() {
    let before = first();
    let put = json!({"version": "00000009", "put": {
        "services": [{"name": "new"}],
        "customers": [{"name": "third", "keys": ["another-key"]}],
        "hosts": [
            {"host": "new.example", "paths": [route("r-new", "/", "new")]},
            {"host": "JEPU9.example", "paths": [route("r-more", "/lepu270/more/", "new")]}
        ]
    }});
    let with = before.change(&bytes(&put)).unwrap();
    assert_eq!(with.version(), Version(9));
    let index = RouteTable::new(with.configuration());
    assert_eq!(index.route("new.example", "/x").unwrap().name, "r-new");
    assert_eq!(index.route("jepu9.example", "/lepu270/more/x").unwrap().name, "r-more");
    assert_eq!(index.tenant("another-key").unwrap().name, "third");
    let remove = json!({"version": "0000000a", "remove": {
        "services": ["new", "never"], "customers": ["third"], "routes": ["r-new", "r-more", "r-never"]
    }});
    let after = with.change(&bytes(&remove)).unwrap();
    assert_eq!(difference(before.configuration(), after.configuration()), []);
    assert_eq!(
        Configuration { version: Version(7), ..after.configuration().clone() },
        *before.configuration()
    );
    let left: Value = serde_json::from_slice(&after.to_bytes()).unwrap();
    assert_eq!(left["hosts"].as_array().unwrap().len(), 2, "the host without routes goes");
    assert_eq!(left["note"], example()["note"]);
    assert_eq!(left["hosts"][0]["paths"][0], example()["hosts"][0]["paths"][0]);
}

#[test]
fn put_replaces_items_by_name_at_their_position() {
    let put = json!({"version": "00000009", "put": {
        "services": [{"name": "huvo11a", "maxConnections": 7}],
        "customers": [{"name": "yefi830", "keys": ["only"]}],
        "limits": {"idleWaitS": 4},
        "hosts": [{"host": "jepu9.example", "paths": [route("r-one", "/lepu271/", "wuno96b")]}]
    }});
    let after = first().change(&bytes(&put)).unwrap();
    let read = after.configuration();
    assert_eq!(read.services["huvo11a"].max_connections, 7);
    assert_eq!(read.services.len(), 3);
    assert_eq!(read.tenants["yefi830"].keys, ["only"]);
    assert_eq!(read.limits, Limits { idle_wait_s: 4.0, ..Limits::default() });
    assert_eq!(read.routes[0].path_prefix, "/lepu271/");
    assert_eq!(read.routes.len(), 2);
    let index = RouteTable::new(read);
    assert!(index.route("jepu9.example", "/lepu270/").is_none());
    assert!(index.tenant(KEYS[0]).is_none());
}

#[test]
fn a_route_put_under_another_host_moves() {
    let put = json!({"version": "00000009", "put": {
        "hosts": [{"host": "hulo84.example", "paths": [route("r-one", "/lepu270/", "huvo11a")]}]
    }});
    let after = first().change(&bytes(&put)).unwrap();
    assert_eq!(after.configuration().routes.len(), 2);
    let index = RouteTable::new(after.configuration());
    assert!(index.route("jepu9.example", "/lepu270/2f").is_none());
    assert_eq!(index.route("hulo84.example", "/lepu270/2f").unwrap().name, "r-one");
    let left: Value = serde_json::from_slice(&after.to_bytes()).unwrap();
    assert_eq!(left["hosts"].as_array().unwrap().len(), 1);
}

#[test]
fn a_host_with_two_entries_is_one_host() {
    let twice =
        set("/hosts/-", json!({"host": "JEPU9.example", "paths": [route("r-new", "/new/", "huvo11a")]}));
    let before = Document::empty().replace(&bytes(&twice)).unwrap();
    let put = json!({"version": "00000009", "put": {
        "hosts": [{"host": "jepu9.example", "paths": [route("r-new", "/newer/", "huvo11a")]}]
    }});
    let after = before.change(&bytes(&put)).unwrap();
    assert_eq!(after.configuration().routes.len(), 3);
    let index = RouteTable::new(after.configuration());
    assert_eq!(index.route("jepu9.example", "/newer/").unwrap().name, "r-new");
    assert!(index.route("jepu9.example", "/new/").is_none());
}

/// Bytes set to others: nothing panics, no key is told, and what is taken comes back the same.
#[test]
fn corrupted_bodies_neither_panic_nor_print_keys() {
    let before = first();
    let whole = bytes(&set("/version", json!("00000009")));
    let change = bytes(&json!({"version": "00000009", "remove": {"routes": ["r-two"]}, "put": {
        "limits": {"idleWaitS": 4},
        "customers": [{"name": "third", "keys": ["another-key"]}],
        "hosts": [{"host": "x.example", "paths": [route("r-one", "/", "kafi81c")]}]
    }}));
    let mut taken = 0;
    for (body, apply) in [(whole, Document::replace as fn(&Document, &[u8]) -> _), (change, Document::change)]
    {
        for place in 0..body.len() {
            for byte in *b"0-\"[]{}:,e \x00\xff" {
                let mut spoilt = body.clone();
                spoilt[place] = byte;
                match apply(&before, &spoilt) {
                    Ok(document) => {
                        assert_eq!(Document::from_bytes(&document.to_bytes()).as_ref(), Ok(&document));
                        taken += 1;
                    }
                    Err(faults) => {
                        told(&faults);
                    }
                }
            }
        }
    }
    assert!(taken > 0);
}

#[test]
fn a_host_is_removed_with_its_routes() {
    let remove = json!({"version": "00000009", "remove": {"hosts": ["JEPU9.example", "never.example"]}});
    let after = first().change(&bytes(&remove)).unwrap();
    assert_eq!(after.configuration().routes.len(), 1);
    assert_eq!(after.configuration().routes[0].name, "r-two");
}

#[test]
fn a_prefix_freed_by_a_change_can_be_reused_by_it() {
    let change = json!({"version": "00000009", "remove": {"routes": ["r-one"]}, "put": {
        "hosts": [{"host": "jepu9.example", "paths": [route("r-new", "/lepu270/", "huvo11a")]}]
    }});
    let after = first().change(&bytes(&change)).unwrap();
    assert_eq!(
        RouteTable::new(after.configuration()).route("jepu9.example", "/lepu270/").unwrap().name,
        "r-new"
    );
}

#[test]
fn an_item_both_removed_and_put_is_present() {
    let change = json!({"version": "00000009", "remove": {"routes": ["r-one"]}, "put": {
        "hosts": [{"host": "jepu9.example", "paths": [route("r-one", "/a/", "huvo11a")]}]
    }});
    let after = first().change(&bytes(&change)).unwrap();
    assert_eq!(RouteTable::new(after.configuration()).route("jepu9.example", "/a/").unwrap().name, "r-one");
}

#[test_case(json!({"remove": {"services": ["huvo11a"]}}), "hosts[0].paths[0].split[0].service"; "a service in use goes")]
#[test_case(json!({"put": {"hosts": [{"host": "x.example", "paths": [route("n", "/", "gone")]}]}}), "hosts[2].paths[0].service"; "unknown service")]
#[test_case(json!({"put": {"hosts": [{"host": "JEPU9.EXAMPLE", "paths": [route("n", "/lepu270/", "huvo11a")]}]}}), "hosts[0].paths[1]"; "same place")]
#[test_case(json!({"put": {"hosts": [{"host": "", "paths": [route("n", "/", "huvo11a")]}]}}), "hosts[2].host"; "empty host")]
#[test_case(json!({"put": {"hosts": [{"paths": [route("n", "/", "huvo11a")]}]}}), "put.hosts[0].host"; "no host")]
#[test_case(json!({"put": {"hosts": [{"host": "x.example", "paths": [{"pathStart": "/"}]}]}}), "put.hosts[0].paths[0].name"; "no name")]
#[test_case(json!({"put": {"hosts": [{"host": "x.example", "paths": [route("n", "/", "huvo11a"), route("n", "/a/", "huvo11a")]}]}}), "put.hosts[0].paths[1]"; "a name put twice")]
#[test_case(json!({"put": {"customers": [{"name": "n", "keys": [KEYS[0]]}]}}), "customers[2].keys[0]"; "shared key")]
#[test_case(json!({"put": {"customers": [KEYS[0]]}}), "put.customers[0]"; "tenant as a text")]
#[test_case(json!({"put": {"services": {}}}), "put.services"; "services as an object")]
#[test_case(json!({"put": {"routes": [route("n", "/", "huvo11a")]}}), "put.routes"; "routes beside hosts")]
#[test_case(json!({"put": []}), "put"; "put as a list")]
#[test_case(json!({"remove": {"routes": "r-one"}}), "remove.routes"; "names as a text")]
#[test_case(json!({"remove": {"routes": [1]}}), "remove.routes[0]"; "a name as a number")]
#[test_case(json!({"version": "00000007"}), "version"; "old version")]
#[test_case(json!({"version": null}), "version"; "no version")]
fn a_change_with_an_invalid_result_is_rejected(mut change: Value, at: &str) {
    let fields = change.as_object_mut().unwrap();
    fields.entry("version").or_insert(json!("00000009"));
    let before = first();
    let faults = before.change(&bytes(&change)).unwrap_err();
    let text = told(&faults);
    assert_eq!(faults.0.len(), 1, "{text}");
    assert_eq!(faults.0[0].at(), at, "{text}");
    assert_eq!(before, first());
}

#[test_case("a.example", "/", Some("root"); "the root")]
#[test_case("A.EXAMPLE:8443", "/x", Some("root"); "upper case and a port")]
#[test_case("a.example", "/a", Some("root"); "a segment without its slash")]
#[test_case("a.example", "/a/", Some("a"); "the prefix itself")]
#[test_case("a.example", "/a/b", Some("a"); "the longest misses by its slash")]
#[test_case("a.example", "/a/b/c/d", Some("ab"); "the longest")]
#[test_case("a.example", "/ab/", Some("root"); "another segment")]
#[test_case("a.example", "/A/b/", Some("root"); "paths keep their case")]
#[test_case("a.example", "", None; "no path")]
#[test_case("a.example", "*", None; "a star")]
#[test_case("b.example", "/b/x", Some("b"); "another host")]
#[test_case("b.example", "/x", None; "no route")]
#[test_case("b.example", "/ü/b/", None; "other letters")]
#[test_case("[::1]:80", "/x", Some("six"); "an address with a port")]
#[test_case("[::1]", "/x", Some("six"); "an address")]
#[test_case("c.example", "/", None; "unknown host")]
#[test_case("", "/", None; "no host")]
fn the_longest_prefix_wins(host: &str, path: &str, name: Option<&str>) {
    let document = json!({"version": "1", "services": [{"name": "s"}], "hosts": [
        {"host": "a.example", "paths": [route("a", "/a/", "s"), route("root", "/", "s"), route("ab", "/a/b/", "s")]},
        {"host": "b.example", "paths": [route("b", "/b/", "s")]},
        {"host": "[::1]", "paths": [route("six", "/", "s")]}
    ]});
    let document = Document::empty().replace(&bytes(&document)).unwrap();
    let index = RouteTable::new(document.configuration());
    assert_eq!(index.route(host, path).map(|route| route.name.as_str()), name);
}

#[test]
fn keys_find_their_tenants() {
    let index = RouteTable::new(first().configuration());
    assert_eq!(index.tenant(KEYS[1]).unwrap().name, "yefi830");
    assert_eq!(index.tenant(KEYS[2]).unwrap().name, "zola12");
    assert!(index.tenant("").is_none());
    assert!(index.tenant("XD9DNN2CTNFZS989ANU6").is_none());
}

#[test]
fn differences_are_listed_one_a_line() {
    let change = json!({"version": "00000009", "remove": {"routes": ["r-two"], "customers": ["zola12"]}, "put": {
        "services": [{"name": "new"}, {"name": "huvo11a", "maxConnections": 7}],
        "customers": [
            {"name": "yefi830", "keys": [KEYS[0], "a", "b"], "rank": 1, "ratePerS": 50, "burst": 12.5},
            {"name": "third", "keys": [KEYS[2]]}
        ],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1048576, "headerWaitS": 2, "idleWaitS": 4},
        "hosts": [{"host": "x.example", "paths": [route("r-one", "/lepu270/", "new"), route("r-new", "/", "new")]}]
    }});
    let before = first();
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
    no_key_in(&lines.join("\n"));
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

/// Prints how long 350 routes take. Run it in release with `--ignored --nocapture`.
#[test]
#[ignore = "a timing, which checks nothing"]
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
    let index = RouteTable::new(before.configuration());
    println!("body: {} bytes", body.len());
    best("replace", &|| drop(Document::empty().replace(&body).unwrap()));
    best("change", &|| drop(before.change(&change).unwrap()));
    best("index", &|| drop(RouteTable::new(before.configuration())));
    best("1000 routes found", &|| {
        for _ in 0..1000 {
            assert!(index.route("h30.example", "/p4/q/x/y").is_some());
        }
    });
}
