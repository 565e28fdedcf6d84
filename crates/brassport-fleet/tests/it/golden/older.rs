//! Serialized forms of earlier versions.

use super::GOLDEN;
use brassport_fleet::audit::Audit;
use brassport_fleet::record::Event;
use brassport_fleet::shared::{Change, Process};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Fields that later versions added get defaults, and an event of an unknown kind is read as such.
#[test]
fn forms_of_earlier_versions_are_read_with_defaults() {
    fn read<T: Serialize + DeserializeOwned>(text: &str) -> String {
        let value: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{text}: {error}"));
        serde_json::to_string(&value).expect("plain data serializes as JSON")
    }
    let change = r#"{"id":"c","author":"a","reason":"r","matter":"m","key":"k","body":null}"#;
    let process = r#"{"process":7}"#;
    let audit = r#"{"spans":[],"sent":[],"unknown":{},"forks":[]}"#;
    let event = r#"{"what":"dreamt","of":[1]}"#;
    let lines = [
        ("Change", change, read::<Change>(change)),
        ("Process", process, read::<Process>(process)),
        ("Audit", audit, read::<Audit>(audit)),
        ("What", event, read::<Event>(event)),
    ];
    let text: String = lines.iter().map(|(name, old, new)| format!("{name}: {old}\n  now {new}\n")).collect();
    GOLDEN.same_text("older.txt", &text);
}
