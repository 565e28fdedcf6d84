//! Texts of refusals and faults.

use super::grants::opens;
use super::same_text;
use super::shared::refusals;
use brassport_fleet::{record, shared};

/// Faults of a record are encoded and never read; the rest are words that other instances and people are told.
#[test]
fn refusals_and_faults_keep_their_texts() {
    let mut lines: Vec<String> = refusals().iter().map(|refusal| format!("Refusal: {refusal}")).collect();
    lines.extend(opens().iter().map(|open| format!("Open: {open}")));
    for fault in [
        shared::Fault::Gap { have: 3, next: 5 },
        shared::Fault::Fork { version: 3 },
        shared::Fault::Stale { have: 3, told: 2 },
    ] {
        let variant = match &fault {
            shared::Fault::Gap { .. } => "Gap",
            shared::Fault::Fork { .. } => "Fork",
            shared::Fault::Stale { .. } => "Stale",
        };
        lines.push(format!("shared::Fault::{variant}: {fault}"));
    }
    for fault in [
        record::Fault::Cut { line: 1 },
        record::Fault::Garbled { line: 2 },
        record::Fault::Broken { line: 3 },
    ] {
        let variant = match &fault {
            record::Fault::Cut { .. } => "Cut",
            record::Fault::Garbled { .. } => "Garbled",
            record::Fault::Broken { .. } => "Broken",
        };
        let text = serde_json::to_string(&fault).expect("plain data has a form in JSON");
        lines.push(format!("record::Fault::{variant}: {text} {fault}"));
    }
    same_text("messages.txt", &(lines.join("\n") + "\n"));
}
