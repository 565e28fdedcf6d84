//! What follows from Nomad's answers, and readers that accept or reject any bytes.

use brassport_membership::book::{Moment, Report, State};
use brassport_membership::nomad::api;
use brassport_membership::nomad::follower::{Follower, List, Meta, Next, Options, FIRST_REPORT_TIMEOUT_MS};
use brassport_membership::nomad::lines::{LineTooLong, Lines};
use brassport_membership::table::{Rules, Taken};
use proptest::prelude::*;

fn at(ms: u64) -> Moment {
    Moment { monotonic: ms, unix: 1_000_000 + ms }
}

fn fresh(index: u64) -> Meta {
    Meta { index, known_leader: true, last_contact: 0 }
}

fn service(id: &str, index: u64) -> String {
    format!(
        r#"{{"ID":"{id}","ServiceName":"render","NodeID":"c-{id}","AllocID":"a-{id}","Tags":["zone=b","weight=2.5"],
            "Address":"127.0.0.1","Port":9000,"ModifyIndex":{index},"New":{{"field":1}}}}"#
    )
}

fn client(id: &str, drains: bool, index: u64) -> String {
    format!(
        r#"{{"ID":"c-{id}","Status":"ready","SchedulingEligibility":"eligible","Drain":{drains},"ModifyIndex":{index}}}"#
    )
}

fn alloc(id: &str, status: &str, index: u64) -> String {
    format!(
        r#"{{"ID":"a-{id}","ClientStatus":"{status}","DesiredStatus":"run","CreateTime":5000000000,
            "TaskStates":{{"t":{{"StartedAt":"1970-01-01T00:00:07.5Z"}},"u":{{"StartedAt":"0001-01-01T00:00:00Z"}}}},
            "ModifyIndex":{index}}}"#
    )
}

fn list(rows: &[String]) -> Vec<u8> {
    format!("[{}]", rows.join(",")).into_bytes()
}

/// A follower that knows these nodes, all running.
fn follower(ids: &[&str]) -> Follower {
    let mut follower = Follower::new(Options::of("render"));
    let rows = |row: &dyn Fn(&str) -> String| list(&ids.iter().map(|id| row(id)).collect::<Vec<_>>());
    follower.take_list(at(0), List::Allocs, fresh(10), &rows(&|id| alloc(id, "running", 5))).unwrap();
    follower.take_list(at(0), List::Clients, fresh(10), &rows(&|id| client(id, false, 4))).unwrap();
    let (taken, next) =
        follower.take_list(at(0), List::Services, fresh(10), &rows(&|id| service(id, 6))).unwrap();
    assert_eq!((taken, next), (Taken::Whole, Next::From(10)));
    follower
}

fn one(report: Option<Report>) -> (State, String) {
    let report = report.expect("there is a report");
    assert_eq!(report.entries.len(), 1, "{report:?}");
    (report.entries[0].state, report.entries[0].note.clone())
}

fn event(topic: &str, kind: &str, index: u64, payload: &str) -> Vec<u8> {
    format!(
        r#"{{"Index":{index},"Events":[{{"Topic":"{topic}","Type":"{kind}","Index":{index},"Payload":{payload}}}]}}"#
    )
    .into_bytes()
}

#[test]
fn an_entry_is_joined_from_registration_tags_and_allocation() {
    let report = follower(&["n"]).report(at(0)).expect("a first report");
    assert!(report.whole);
    let entry = &report.entries[0];
    assert_eq!((&*entry.id, entry.zone.as_str(), entry.size, entry.revision), ("n", "b", 2.5, 6));
    assert_eq!(entry.address, Some(([127, 0, 0, 1], 9000).into()));
    assert_eq!(entry.boot_ms, 7_500.0, "the last start of a task, not the allocation's creation");
}

#[test]
fn each_client_and_allocation_status_maps_to_its_state() {
    let mut follower = follower(&["n"]);
    follower.report(at(0));
    let mut index = 20;
    let mut send = |topic: &str, kind: &str, payload: String| {
        index += 1;
        let payload = payload.replace("INDEX", &index.to_string());
        assert!(!follower.take_line(at(1), &event(topic, kind, index, &payload)).unwrap());
        follower.report(at(1))
    };
    let client = |fields: &str| format!(r#"{{"Node":{{"ID":"c-n","ModifyIndex":INDEX,{fields}}}}}"#);
    let alloc = |client: &str, desired: &str| {
        format!(
            r#"{{"Allocation":{{"ID":"a-n","ClientStatus":"{client}","DesiredStatus":"{desired}","TaskStates":null}}}}"#
        )
    };
    let drains = send("Node", "NodeDrain", client(r#""Status":"ready","DrainStrategy":{"Deadline":1}"#));
    assert_eq!(one(drains), (State::Draining, "its client drains".into()));
    let back = send("Node", "NodeEligibility", client(r#""Status":"ready","DrainStrategy":null"#));
    assert_eq!(one(back).0, State::Ready);
    let ineligible = client(r#""Status":"ready","SchedulingEligibility":"ineligible""#);
    assert_eq!(
        one(send("Node", "NodeEligibility", ineligible)).0,
        State::Ready,
        "it goes on with what it has"
    );
    let disconnected = client(r#""Status":"disconnected""#);
    assert_eq!(one(send("Node", "NodeEvent", disconnected)).0, State::Ready, "nothing is proven");
    assert_eq!(one(send("Node", "NodeEvent", client(r#""Status":"down""#))).0, State::Gone);
    assert_eq!(one(send("Node", "NodeRegistration", client(r#""Status":"ready""#))).0, State::Ready);
    assert_eq!(one(send("Allocation", "AllocationUpdated", alloc("running", "stop"))).0, State::Draining);
    assert_eq!(one(send("Allocation", "AllocationUpdated", alloc("running", "run"))).0, State::Ready);
    assert_eq!(one(send("Allocation", "AllocationUpdated", alloc("pending", "run"))).0, State::Draining);
    assert_eq!(one(send("Allocation", "AllocationUpdated", alloc("unknown", "run"))).0, State::Ready);
    for over in ["failed", "lost", "complete"] {
        let (state, note) = one(send("Allocation", "AllocationUpdated", alloc(over, "run")));
        assert_eq!((state, note), (State::Gone, format!("its allocation is {over}")));
    }
    assert_eq!(one(send("Node", "NodeDeregistration", client(r#""Status":"down""#))).0, State::Gone);
    let gone = send("Service", "ServiceDeregistration", format!(r#"{{"Service":{}}}"#, service("n", 20)));
    assert_eq!(gone.expect("a report").withdrawn.len(), 1);
}

#[test]
fn an_ineligible_client_is_draining_where_configured() {
    let mut follower = Follower::new(Options { ineligible_drains: true, ..Options::of("render") });
    follower.take_list(at(0), List::Allocs, fresh(9), &list(&[alloc("n", "running", 5)])).unwrap();
    let ineligible =
        br#"[{"ID":"c-n","Status":"ready","SchedulingEligibility":"ineligible","ModifyIndex":4}]"#;
    follower.take_list(at(0), List::Clients, fresh(9), ineligible).unwrap();
    follower.take_list(at(0), List::Services, fresh(9), &list(&[service("n", 6)])).unwrap();
    assert_eq!(one(follower.report(at(0))), (State::Draining, "its client is ineligible".into()));
}

#[test]
fn the_first_report_waits_for_all_lists_up_to_the_time_out() {
    let mut follower = Follower::new(Options::of("render"));
    follower.take_list(at(0), List::Services, fresh(9), &list(&[service("n", 6)])).unwrap();
    assert_eq!(follower.report(at(0)), None);
    assert_eq!(follower.report(at(FIRST_REPORT_TIMEOUT_MS - 1)), None);
    let report = follower.report(at(FIRST_REPORT_TIMEOUT_MS)).expect("due");
    assert!(report.whole);
    assert_eq!(report.entries[0].boot_ms, 1_000_000.0, "an unknown start counts as now");
    follower.take_list(at(400), List::Allocs, fresh(9), &list(&[alloc("n", "running", 5)])).unwrap();
    assert_eq!(follower.report(at(400)).expect("a report").entries[0].boot_ms, 7_500.0);
}

#[test]
fn draining_and_terminated_nodes_are_reported_before_the_first_list() {
    let mut follower = Follower::new(Options::of("render"));
    let registered = format!(r#"{{"Service":{}}}"#, service("n", 6));
    follower.take_line(at(0), &event("Service", "ServiceRegistration", 6, &registered)).unwrap();
    assert_eq!(follower.report(at(0)), None, "that it is present is reported from a list");
    let drains = format!(r#"{{"Node":{}}}"#, client("n", true, 7));
    follower.take_line(at(1), &event("Node", "NodeDrain", 7, &drains)).unwrap();
    assert_eq!(one(follower.report(at(1))).0, State::Draining);
    let other = format!(r#"{{"Service":{}}}"#, service("m", 6));
    follower.take_line(at(2), &event("Service", "ServiceDeregistration", 8, &other)).unwrap();
    assert_eq!(one(follower.report(at(2))).0, State::Gone, "the proxy may know it from an earlier run");
}

#[test]
fn a_rolling_update_under_new_names_is_remembered_within_a_bound() {
    let mut follower = Follower::new(Options {
        rules: Rules { max_removed: 100, ..Rules::default() },
        ..Options::of("render")
    });
    for table in [List::Allocs, List::Clients, List::Services] {
        let row = match table {
            List::Allocs => alloc("n0", "running", 1),
            List::Clients => client("n0", false, 1),
            List::Services => service("n0", 1),
        };
        follower.take_list(at(0), table, fresh(1), &list(&[row])).unwrap();
    }
    follower.report(at(0));
    let mut index = 1;
    for round in 1..=2_000 {
        let (new, old) = (format!("n{round}"), format!("n{}", round - 1));
        let mut send = |topic: &str, kind: &str, payload: String| {
            index += 1;
            follower.take_line(at(round), &event(topic, kind, index, &payload)).unwrap();
        };
        send("Allocation", "AllocationUpdated", format!(r#"{{"Allocation":{}}}"#, alloc(&new, "running", 0)));
        send("Service", "ServiceRegistration", format!(r#"{{"Service":{}}}"#, service(&new, 0)));
        send("Service", "ServiceDeregistration", format!(r#"{{"Service":{}}}"#, service(&old, 0)));
        send(
            "Allocation",
            "AllocationUpdated",
            format!(r#"{{"Allocation":{}}}"#, alloc(&old, "complete", 0)),
        );
        let report = follower.report(at(round)).expect("a report");
        assert_eq!((report.entries.len(), report.withdrawn.len()), (1, 1));
    }
    assert_eq!(follower.len(), 1);
    assert!(follower.remembered() <= 1 + 1 + 1 + 200, "{} rows", follower.remembered());
}

#[test]
fn other_services_and_topics_are_ignored_and_malformed_answers_change_nothing() {
    let mut follower = follower(&["n"]);
    follower.report(at(0));
    let other = service("x", 20).replace("render", "web");
    follower
        .take_line(at(1), &event("Service", "ServiceRegistration", 20, &format!(r#"{{"Service":{other}}}"#)))
        .unwrap();
    follower.take_line(at(1), &event("Job", "JobRegistered", 21, r#"{"Job":{}}"#)).unwrap();
    follower.take_line(at(1), &event("Node", "NodeDrain", 22, r#"{"Node":"not one"}"#)).unwrap();
    assert!(follower.take_line(at(1), b"{}").unwrap());
    assert!(follower.take_line(at(1), br#"{"Index":23,"Events":[{"#).is_err());
    assert!(follower.take_line(at(1), br#"{"Error":"permission denied"}"#).is_err());
    assert!(follower.take_list(at(1), List::Services, fresh(30), b"[{").is_err());
    assert_eq!(follower.report(at(1)), None);
    assert_eq!(follower.len(), 1);
}

#[test]
fn an_unterminated_line_is_rejected_at_the_limit() {
    let mut lines = Lines::new(100);
    assert_eq!(lines.push(&[b'x'; 60], |_| panic!("no line ended")), Ok(()));
    assert_eq!(lines.push(&[b'x'; 41], |_| panic!("no line ended")), Err(LineTooLong { max_bytes: 100 }));
    assert_eq!(lines.buffered_bytes(), 0, "nothing of it is buffered");
}

/// Bytes that look like what the API sends, corrupted somewhere.
fn corrupted() -> impl Strategy<Value = Vec<u8>> {
    let good = prop_oneof![
        Just(list(&[service("n", 6), service("m", 7)])),
        Just(list(&[client("n", true, 6)])),
        Just(list(&[alloc("n", "running", 6)])),
        Just(event("Node", "NodeDrain", 7, &format!(r#"{{"Node":{}}}"#, client("n", true, 7)))),
        Just(event("Service", "ServiceDeregistration", 7, &format!(r#"{{"Service":{}}}"#, service("n", 7)))),
    ];
    (
        good,
        prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        any::<prop::sample::Index>(),
        any::<bool>(),
    )
        .prop_map(|(mut bytes, changes, cut, cuts)| {
            for (position, byte) in changes {
                let position = position.index(bytes.len());
                bytes[position] = byte;
            }
            if cuts {
                bytes.truncate(cut.index(bytes.len()));
            }
            bytes
        })
}

proptest! {
    #[test]
    fn lines_are_complete_however_the_bytes_are_split(
        bytes in prop::collection::vec(prop_oneof![4 => Just(b'x'), 1 => Just(b'\n')], 0..300),
        cuts in prop::collection::vec(1usize..40, 0..40),
    ) {
        let mut complete = Vec::new();
        Lines::new(1_000).push(&bytes, |line| complete.push(line.to_vec())).unwrap();
        let (mut parts, mut lines, mut rest) = (Vec::new(), Lines::new(1_000), &bytes[..]);
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (part, next) = rest.split_at(cut.min(rest.len()));
            lines.push(part, |line| parts.push(line.to_vec())).unwrap();
            rest = next;
        }
        prop_assert_eq!(parts, complete);
    }

    #[test]
    fn any_bytes_are_read_or_rejected_within_the_buffer_limit(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
        most in 1usize..64,
    ) {
        let mut lines = Lines::new(most);
        let mut follower = follower(&["n"]);
        let _ = lines.push(&bytes, |line| drop(follower.take_line(at(1), line)));
        prop_assert!(lines.buffered_bytes() <= most);
        let _ = api::parse_list::<api::Service>(&bytes);
        let _ = api::parse_list::<api::Client>(&bytes);
        let _ = api::parse_list::<api::Alloc>(&bytes);
    }

    #[test]
    fn a_corrupted_answer_is_rejected_or_changes_only_what_it_names(bytes in corrupted()) {
        let mut follower = follower(&["n", "m"]);
        follower.report(at(0));
        for table in [List::Services, List::Clients, List::Allocs] {
            let before = follower.len();
            if follower.take_list(at(1), table, Meta { known_leader: false, ..fresh(20) }, &bytes).is_err() {
                prop_assert_eq!(follower.len(), before);
            }
        }
        let _ = follower.take_line(at(1), &bytes);
        let _ = follower.report(at(1));
        // What came by a stale answer or an event has dropped nothing but what it names.
        prop_assert!(!follower.is_empty());
    }
}
