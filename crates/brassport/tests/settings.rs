//! Validation of configuration files: a truncated or incomplete file, or one with an invalid value, is rejected as a
//! whole.

mod common;

use brassport::config::{parse, Precedence};
use common::{config, reserve, target_list};
use serde_json::{json, Value};

fn is_valid(text: &str) -> bool {
    parse(text, Precedence::File, |_| None).is_ok()
}

/// A valid configuration whose plan has a hard rate limit.
fn valid_config() -> Value {
    let mut config = config(reserve(), target_list(&[]));
    config["settings"]["plans"][0]["neverOverRate"] = json!(3.0);
    config
}

#[test]
fn a_file_truncated_at_any_byte_is_rejected() {
    let text = valid_config().to_string();
    assert!(is_valid(&text));
    for end in 0..text.len() {
        assert!(!is_valid(&text[..end]), "truncated at {end}: {}", &text[..end]);
    }
}

/// Collects all keys below a value, each with the JSON pointer of its object. `at` is the pointer of `value`.
fn collect_keys(value: &Value, at: &str, all: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            for (key, below) in fields {
                all.push((at.to_string(), key.clone()));
                collect_keys(below, &format!("{at}/{key}"), all);
            }
        }
        Value::Array(values) => {
            for (n, below) in values.iter().enumerate() {
                collect_keys(below, &format!("{at}/{n}"), all);
            }
        }
        _ => {}
    }
}

#[test]
fn a_file_without_any_of_the_required_keys_is_rejected() {
    // Keys that other programs read, or that an environment variable may provide.
    let optional = ["name", "counter", "cores", "stream"];
    let mut all = Vec::new();
    collect_keys(&valid_config(), "", &mut all);
    assert!(all.len() > 50, "{all:?}");
    for (at, key) in all {
        let mut config = valid_config();
        config.pointer_mut(&at).and_then(Value::as_object_mut).expect("JSON object").remove(&key);
        let is_name = key == "name" && at.starts_with("/settings");
        let is_required = is_name || !optional.contains(&key.as_str());
        assert_eq!(is_valid(&config.to_string()), !is_required, "without {at}/{key}");
    }
}

#[test]
fn values_out_of_range_or_of_the_wrong_type_are_rejected() {
    for at in [
        "classes/0/deadline",
        "classes/1/slo",
        "bounds/maxAttempts",
        "familyInfo/mostUnits",
        "bounds/connectTimeout",
    ] {
        for (value, why) in [
            ("0", "zero"),
            ("-1.5", "negative"),
            ("NaN", "not a number"),
            ("1e400", "infinite"),
            ("1e300", "huge"),
            ("\"5\"", "a string"),
            ("null", "null"),
        ] {
            let mut config = valid_config();
            *config.pointer_mut(&format!("/settings/{at}")).expect("path exists in the configuration") =
                json!("PLACEHOLDER");
            let text = config.to_string().replace("\"PLACEHOLDER\"", value);
            assert!(!is_valid(&text), "{at} {why}");
        }
    }
    for (at, value) in [
        ("classes/1/name", json!("preview-fetch")),
        ("classes", json!([])),
        ("plans", json!([])),
        ("classes/0/semantics", json!("twice")),
        ("plans/0/name", json!("")),
    ] {
        let mut config = valid_config();
        *config.pointer_mut(&format!("/settings/{at}")).expect("path exists in the configuration") = value;
        assert!(!is_valid(&config.to_string()), "{at}");
    }
}
