//! Messages of refusals, fence blockers and faults.

use super::grants::blockers;
use super::shared::refusals;
use super::GOLDEN;
use brassport_fleet::{record, shared};

/// Faults of a record are also serialized, but never deserialized; the rest are messages for other instances and operators.
#[test]
fn refusals_and_faults_keep_their_texts() {
    let mut lines: Vec<String> = refusals().iter().map(|refusal| format!("Refusal: {refusal}")).collect();
    lines.extend(blockers().iter().map(|blocker| format!("Open: {blocker}")));
    for fault in [
        shared::Fault::Gap { have: 3, next: 5 },
        shared::Fault::Fork { version: 3 },
        shared::Fault::Stale { have: 3, offered: 2 },
    ] {
        let variant = match &fault {
            shared::Fault::Gap { .. } => "Gap",
            shared::Fault::Fork { .. } => "Fork",
            shared::Fault::Stale { .. } => "Stale",
        };
        lines.push(format!("shared::Fault::{variant}: {fault}"));
    }
    for fault in [
        record::Fault::Truncated { line: 1 },
        record::Fault::Malformed { line: 2 },
        record::Fault::Unlinked { line: 3 },
    ] {
        let variant = match &fault {
            record::Fault::Truncated { .. } => "Cut",
            record::Fault::Malformed { .. } => "Garbled",
            record::Fault::Unlinked { .. } => "Broken",
        };
        let text = serde_json::to_string(&fault).expect("plain data serializes as JSON");
        lines.push(format!("record::Fault::{variant}: {text} {fault}"));
    }
    GOLDEN.same_text("messages.txt", &(lines.join("\n") + "\n"));
}
