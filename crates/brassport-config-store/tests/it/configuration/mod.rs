//! The operator's configuration: validation, changes, parsed values and route lookups.

mod changes;
mod documents;
mod route_table;
mod validation;

use brassport_config_store::configuration::{Document, ValidationErrors};
use serde_json::{json, Value};

const KEYS: [&str; 3] = ["xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8", "k0000000000000000003"];

/// The example of the protocol's documentation, with a second tenant and unknown fields.
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

fn example_document() -> Document {
    Document::empty().replace(&bytes(&example())).unwrap()
}

/// The example with the value at a JSON pointer replaced or added, or removed if `to` is `None`. `-` appends to a list.
fn edited(pointer: &str, to: Option<Value>) -> Value {
    let mut document = example();
    let (parent, field) = pointer.rsplit_once('/').unwrap();
    match (document.pointer_mut(parent).unwrap(), to) {
        (Value::Object(object), Some(value)) => {
            object.insert(field.to_owned(), value);
        }
        (Value::Object(object), None) => {
            object.remove(field).unwrap();
        }
        (Value::Array(list), Some(value)) => match field.parse::<usize>() {
            Ok(position) => list[position] = value,
            Err(_) => list.push(value),
        },
        _ => panic!("nothing to remove at {pointer}"),
    }
    document
}

fn set(pointer: &str, to: Value) -> Value {
    edited(pointer, Some(to))
}

fn without(pointer: &str) -> Value {
    edited(pointer, None)
}

fn route(name: &str, path_prefix: &str, service: &str) -> Value {
    json!({"name": name, "pathStart": path_prefix, "kind": "safe", "giveUpS": 2, "goalS": 0.5, "rank": 0,
           "service": service, "tries": 1, "public": false})
}

fn assert_no_key_in(text: &str) {
    for key in KEYS {
        assert!(!text.contains(key), "{text}");
    }
}

/// The text of the errors, one per line. Asserts that neither the text nor the `Debug` output contains a key.
fn error_text(errors: &ValidationErrors) -> String {
    assert!(!errors.0.is_empty());
    let text = errors.to_string();
    assert_no_key_in(&text);
    assert_no_key_in(&format!("{errors:?}"));
    text
}
