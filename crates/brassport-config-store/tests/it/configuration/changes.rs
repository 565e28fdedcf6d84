//! Changes of named items (`Config.Change`).

use super::{bytes, error_text, example, example_document, route, set, KEYS};
use brassport_config_store::configuration::{
    difference, Configuration, Document, Limits, RouteTable, Version,
};
use serde_json::{json, Value};
use test_case::test_case;

#[test]
fn remove_undoes_put() {
    let before = example_document();
    let put = json!({"version": "00000009", "put": {
        "services": [{"name": "new"}],
        "customers": [{"name": "third", "keys": ["another-key"]}],
        "hosts": [
            {"host": "new.example", "paths": [route("r-new", "/", "new")]},
            {"host": "JEPU9.example", "paths": [route("r-more", "/lepu270/more/", "new")]}
        ]
    }});
    let changed = before.change(&bytes(&put)).unwrap();
    assert_eq!(changed.version(), Version(9));
    let table = RouteTable::new(changed.configuration());
    assert_eq!(table.route("new.example", "/x").unwrap().name, "r-new");
    assert_eq!(table.route("jepu9.example", "/lepu270/more/x").unwrap().name, "r-more");
    assert_eq!(table.tenant("another-key").unwrap().name, "third");
    let remove = json!({"version": "0000000a", "remove": {
        "services": ["new", "never"], "customers": ["third"], "routes": ["r-new", "r-more", "r-never"]
    }});
    let after = changed.change(&bytes(&remove)).unwrap();
    assert_eq!(difference(before.configuration(), after.configuration()), []);
    assert_eq!(
        Configuration { version: Version(7), ..after.configuration().clone() },
        *before.configuration()
    );
    let remaining: Value = serde_json::from_slice(&after.to_bytes()).unwrap();
    assert_eq!(remaining["hosts"].as_array().unwrap().len(), 2, "a host that lost its last route is removed");
    assert_eq!(remaining["note"], example()["note"]);
    assert_eq!(remaining["hosts"][0]["paths"][0], example()["hosts"][0]["paths"][0]);
}

#[test]
fn put_replaces_items_by_name_at_their_position() {
    let put = json!({"version": "00000009", "put": {
        "services": [{"name": "huvo11a", "maxConnections": 7}],
        "customers": [{"name": "yefi830", "keys": ["only"]}],
        "limits": {"idleWaitS": 4},
        "hosts": [{"host": "jepu9.example", "paths": [route("r-one", "/lepu271/", "wuno96b")]}]
    }});
    let after = example_document().change(&bytes(&put)).unwrap();
    let read = after.configuration();
    assert_eq!(read.services["huvo11a"].max_connections, 7);
    assert_eq!(read.services.len(), 3);
    assert_eq!(read.tenants["yefi830"].keys, ["only"]);
    assert_eq!(read.limits, Limits { idle_timeout_s: 4.0, ..Limits::default() });
    assert_eq!(read.routes[0].path_prefix, "/lepu271/");
    assert_eq!(read.routes.len(), 2);
    let table = RouteTable::new(read);
    assert!(table.route("jepu9.example", "/lepu270/").is_none());
    assert!(table.tenant(KEYS[0]).is_none());
}

#[test]
fn a_route_put_under_another_host_moves() {
    let put = json!({"version": "00000009", "put": {
        "hosts": [{"host": "hulo84.example", "paths": [route("r-one", "/lepu270/", "huvo11a")]}]
    }});
    let after = example_document().change(&bytes(&put)).unwrap();
    assert_eq!(after.configuration().routes.len(), 2);
    let table = RouteTable::new(after.configuration());
    assert!(table.route("jepu9.example", "/lepu270/2f").is_none());
    assert_eq!(table.route("hulo84.example", "/lepu270/2f").unwrap().name, "r-one");
    let remaining: Value = serde_json::from_slice(&after.to_bytes()).unwrap();
    assert_eq!(remaining["hosts"].as_array().unwrap().len(), 1);
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
    let table = RouteTable::new(after.configuration());
    assert_eq!(table.route("jepu9.example", "/newer/").unwrap().name, "r-new");
    assert!(table.route("jepu9.example", "/new/").is_none());
}

/// Documents and changes with one corrupted byte: parsing does not panic, errors contain no keys, and accepted
/// documents round-trip.
#[test]
fn corrupted_bodies_neither_panic_nor_print_keys() {
    let before = example_document();
    let complete = bytes(&set("/version", json!("00000009")));
    let change = bytes(&json!({"version": "00000009", "remove": {"routes": ["r-two"]}, "put": {
        "limits": {"idleWaitS": 4},
        "customers": [{"name": "third", "keys": ["another-key"]}],
        "hosts": [{"host": "x.example", "paths": [route("r-one", "/", "kafi81c")]}]
    }}));
    let mut accepted = 0;
    for (body, apply) in
        [(complete, Document::replace as fn(&Document, &[u8]) -> _), (change, Document::change)]
    {
        for position in 0..body.len() {
            for byte in *b"0-\"[]{}:,e \x00\xff" {
                let mut corrupted = body.clone();
                corrupted[position] = byte;
                match apply(&before, &corrupted) {
                    Ok(document) => {
                        assert_eq!(Document::from_bytes(&document.to_bytes()).as_ref(), Ok(&document));
                        accepted += 1;
                    }
                    Err(errors) => {
                        error_text(&errors);
                    }
                }
            }
        }
    }
    assert!(accepted > 0);
}

#[test]
fn a_host_is_removed_with_its_routes() {
    let remove = json!({"version": "00000009", "remove": {"hosts": ["JEPU9.example", "never.example"]}});
    let after = example_document().change(&bytes(&remove)).unwrap();
    assert_eq!(after.configuration().routes.len(), 1);
    assert_eq!(after.configuration().routes[0].name, "r-two");
}

#[test]
fn a_prefix_freed_by_a_change_can_be_reused_by_it() {
    let change = json!({"version": "00000009", "remove": {"routes": ["r-one"]}, "put": {
        "hosts": [{"host": "jepu9.example", "paths": [route("r-new", "/lepu270/", "huvo11a")]}]
    }});
    let after = example_document().change(&bytes(&change)).unwrap();
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
    let after = example_document().change(&bytes(&change)).unwrap();
    assert_eq!(RouteTable::new(after.configuration()).route("jepu9.example", "/a/").unwrap().name, "r-one");
}

#[test_case(json!({"remove": {"services": ["huvo11a"]}}), "hosts[0].paths[0].split[0].service"; "a service in use is removed")]
#[test_case(json!({"put": {"hosts": [{"host": "x.example", "paths": [route("n", "/", "gone")]}]}}), "hosts[2].paths[0].service"; "unknown service")]
#[test_case(json!({"put": {"hosts": [{"host": "JEPU9.EXAMPLE", "paths": [route("n", "/lepu270/", "huvo11a")]}]}}), "hosts[0].paths[1]"; "same host and prefix")]
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
fn a_change_with_an_invalid_result_is_rejected(mut change: Value, path: &str) {
    let fields = change.as_object_mut().unwrap();
    fields.entry("version").or_insert(json!("00000009"));
    let before = example_document();
    let errors = before.change(&bytes(&change)).unwrap_err();
    let text = error_text(&errors);
    assert_eq!(errors.0.len(), 1, "{text}");
    assert_eq!(errors.0[0].path(), path, "{text}");
    assert_eq!(before, example_document());
}
