//! What commands print for people.

use brassport_fleet::audit::Audit;
use brassport_fleet::clocks::Moment;
use brassport_leases::Lease;
use brassport_peers::instance::Status;
use brassport_peers::tasks::Report;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

pub fn status_text(value: &Value) -> String {
    let mut text = String::new();
    for one in value.as_array().into_iter().flatten() {
        let at = one["at"].as_str().unwrap_or_default();
        let Ok(status) = serde_json::from_value::<Status>(one["status"].clone()) else {
            text += &format!("{at}: {}\n", one["problem"].as_str().unwrap_or("no answer"));
            continue;
        };
        let leader = status.leader.map_or("none".into(), |leader| leader.to_string());
        text += &format!(
            "{at}: instance {}, leader {leader}, term {}, voters {:?}, version {} {}\n",
            status.id,
            status.term,
            status.voters,
            status.version,
            &status.digest[..status.digest.len().min(12)]
        );
        for (door, (version, ms)) in &status.doors {
            let version = version.map_or("no version told".into(), |version| format!("version {version}"));
            let may = if *ms > 0 { format!("may act for {ms} ms") } else { "is out".into() };
            text += &format!("  {door}: {version}, {may}\n");
        }
    }
    text
}

/// What is known of a task.
#[derive(Debug, Default, Serialize)]
pub struct TaskView {
    pub lease: Option<Lease>,
    pub off: bool,
    /// By instance.
    pub at: BTreeMap<String, Report>,
}

pub fn tasks_text(tasks: &BTreeMap<String, TaskView>) -> String {
    let mut text = String::new();
    for (task, view) in tasks {
        let holder = match &view.lease {
            Some(lease) if lease.held => format!("held by {} with token {}", lease.holder, lease.token),
            Some(lease) => format!("given up by {}, token {}", lease.holder, lease.token),
            None => "never held".into(),
        };
        let off = if view.off { ", off: nobody is to hold it" } else { "" };
        let begun = view.lease.as_ref().map_or(0, |lease| lease.begun_for);
        text += &format!("{task}: {holder}{off}; begun for {begun}\n");
        for (address, report) in &view.at {
            let acts = match (&report.acts, &report.why) {
                (Some(token), _) => format!("acts with token {token}"),
                (None, Some(why)) => format!("does not act: {why:?}"),
                (None, None) => "does not act".into(),
            };
            text += &format!("  {address}: {acts}; {}\n", report.last);
        }
        if view.at.is_empty() {
            text += "  no instance that answers has it in its tasks.json\n";
        }
    }
    text
}

pub fn audit_text(audit: &Audit) -> String {
    let mut text = match &audit.clock {
        Some(clock) => format!("moments: Unix milliseconds on the clock of {clock}; * on the door's own\n"),
        None => "moments: Unix milliseconds, each on its door's own clock\n".into(),
    };
    text += &format!(
        "{:<12} {:>8} {:>14} {:>24} {:>24}  ended\n",
        "door", "version", "digest", "admissions", "from"
    );
    for span in &audit.spans {
        let to = span.admissions.1.map_or("?".into(), |to| to.to_string());
        text += &format!(
            "{:<12} {:>8} {:>14} {:>24} {:>24}  {}\n",
            span.door,
            span.version,
            &span.digest[..span.digest.len().min(12)],
            format!("{} up to {to}", span.admissions.0),
            moment(span.began, span.wall_ms),
            span.ended.as_deref().unwrap_or("not said")
        );
    }
    for sent in &audit.sent {
        text += &format!(
            "{}: request {} to {} under version {} at {}\n",
            sent.door,
            sent.request,
            sent.node,
            sent.version,
            moment(sent.at, sent.wall_ms)
        );
    }
    for (version, one, other) in &audit.forks {
        text += &format!("FORK: {one} and {other} hold different things as version {version}\n");
    }
    for (door, lost) in &audit.lost {
        for lost in lost {
            let (lines, before) = (lost.lines, lost.before_wall_ms);
            text += &format!("not known: {door}: {lines} lines could not be written before {before}\n");
        }
    }
    for (door, why) in &audit.unknown {
        text += &format!("not known: {door}: {why}\n");
    }
    text
}

/// A moment with the most that it may be off.
fn moment(moment: Option<Moment>, wall_ms: u64) -> String {
    match moment {
        Some(Moment { from_ms, to_ms }) => {
            format!("{} +- {}", (from_ms + to_ms) / 2, (to_ms - from_ms + 1) / 2)
        }
        None => format!("{wall_ms} *"),
    }
}
