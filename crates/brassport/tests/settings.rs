//! What a file must hold for any of it to count.

mod common;

use brassport::config::{parse, Precedence};
use common::{config, list, reserve};
use serde_json::{json, Value};

fn is_taken(text: &str) -> bool {
    parse(text, Precedence::File, |_| None).is_ok()
}

fn usual() -> Value {
    let mut config = config(reserve(), list(&[]));
    config["settings"]["plans"][0]["neverOverRate"] = json!(3.0);
    config
}

#[test]
fn a_file_cut_off_anywhere_is_turned_down() {
    let text = usual().to_string();
    assert!(is_taken(&text));
    for end in 0..text.len() {
        assert!(!is_taken(&text[..end]), "cut off at {end}: {}", &text[..end]);
    }
}

/// All paths to keys below a value.
fn paths(value: &Value, at: &str, all: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            for (key, below) in fields {
                all.push((at.to_string(), key.clone()));
                paths(below, &format!("{at}/{key}"), all);
            }
        }
        Value::Array(values) => {
            for (n, below) in values.iter().enumerate() {
                paths(below, &format!("{at}/{n}"), all);
            }
        }
        _ => {}
    }
}

#[test]
fn a_file_short_of_any_key_that_is_needed_is_turned_down() {
    // Told to others, or by the environment too.
    let unneeded = ["name", "counter", "cores", "stream"];
    let mut all = Vec::new();
    paths(&usual(), "", &mut all);
    assert!(all.len() > 50, "{all:?}");
    for (at, key) in all {
        let mut config = usual();
        config.pointer_mut(&at).and_then(Value::as_object_mut).expect("an object").remove(&key);
        let is_name = key == "name" && at.starts_with("/settings");
        let is_needed = is_name || !unneeded.contains(&key.as_str());
        assert_eq!(is_taken(&config.to_string()), !is_needed, "without {at}/{key}");
    }
}

#[test]
fn figures_that_make_no_sense_are_turned_down() {
    for at in [
        "classes/0/deadline",
        "classes/1/slo",
        "bounds/maxAttempts",
        "familyInfo/mostUnits",
        "bounds/connectTimeout",
    ] {
        for (value, why) in [
            ("0", "nought"),
            ("-1.5", "negative"),
            ("NaN", "no number"),
            ("1e400", "infinite"),
            ("1e300", "huge"),
            ("\"5\"", "text"),
            ("null", "nothing"),
        ] {
            let mut config = usual();
            *config.pointer_mut(&format!("/settings/{at}")).expect("it is there") = json!("HERE");
            let text = config.to_string().replace("\"HERE\"", value);
            assert!(!is_taken(&text), "{at} {why}");
        }
    }
    for (at, value) in [
        ("classes/1/name", json!("preview-fetch")),
        ("classes", json!([])),
        ("plans", json!([])),
        ("classes/0/semantics", json!("twice")),
        ("plans/0/name", json!("")),
    ] {
        let mut config = usual();
        *config.pointer_mut(&format!("/settings/{at}")).expect("it is there") = value;
        assert!(!is_taken(&config.to_string()), "{at}");
    }
}
