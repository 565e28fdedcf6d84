//! The behaviour of one process's state machine.

use brassport_leases::{Action, Event, Lease, Millis, NoPermitReason, Outcome, Task, Terms};

/// The increase of the tokens with each recovery.
const TOKENS_PER_RECOVERY: u64 = 1 << 32;

fn terms() -> Terms {
    Terms { length: 1000, renewal: 250, drift_permille: 100 }
}

fn lease_of(holder: &str, token: u64) -> Lease {
    let (holder, length) = (holder.into(), 1000);
    Lease { holder, process: 1, token, length, held: true, next: None, begun_for: 0 }
}

/// A process that holds the lease, and when it sent the request for it.
fn holder() -> (Task, Millis) {
    let mut task = Task::new("a", 9, terms(), 0);
    task.handle(0, Event::Wants(true));
    assert_eq!(task.handle(1099, Event::Tick), [], "an earlier holder's permit may still be valid");
    assert_eq!(task.handle(1100, Event::Tick).len(), 1);
    task.handle(1150, Event::Answer(Outcome::Taken { version: 5 }));
    assert!(task.permit(1150).is_some());
    (task, 1100)
}

#[test]
fn a_lease_is_renewed_and_its_permit_runs_from_before_each_request() {
    let (mut task, sent_at) = holder();
    assert_eq!(task.handle(1300, Event::Tick), [], "the renewal is not due yet");
    assert_eq!(task.handle(sent_at + 250, Event::Tick).len(), 1);
    task.handle(1900, Event::Answer(Outcome::Taken { version: 6 }));
    assert!(task.permit(2349).is_some() && task.permit(2350).is_none());
}

#[test]
fn a_lease_is_acquired_from_another_holder_only_when_its_last_renewal_has_expired_on_any_clock() {
    let mut task = Task::new("b", 2, terms(), 0);
    task.handle(0, Event::Wants(true));
    let seen = |version| Event::Seen { version, lease: lease_of("a", 1) };
    task.handle(5000, seen(5));
    task.handle(5900, seen(6));
    assert_eq!(task.handle(6999, Event::Tick), []);
    assert_eq!(task.why(6999), NoPermitReason::HeldBy("a".into()));
    let [Action::Publish { seen, lease }] = &task.handle(7000, Event::Tick)[..] else { panic!("no request") };
    assert_eq!((*seen, lease.token, lease.holder.as_str()), (6, 2, "b"));
}

#[test]
fn a_hand_over_ends_the_permit_first_and_the_named_instance_acquires_first() {
    let (mut task, _) = holder();
    let [Action::Publish { lease, .. }] = &task.handle(1200, Event::HandOver("b".into()))[..] else {
        panic!("no request")
    };
    assert!(!lease.held && task.permit(1200).is_none());
    let given = Event::Seen { version: 6, lease: lease.clone() };
    let ready = |name: &str| {
        let mut task = Task::new(name, 3, terms(), 0);
        task.handle(0, Event::Wants(true));
        task.handle(5000, given.clone()).len()
    };
    assert_eq!((ready("b"), ready("c")), (1, 0));
}

#[test]
fn a_start_pending_under_an_earlier_token_is_dropped_under_a_later_one() {
    let (mut task, _) = holder();
    let [Action::Publish { lease, .. }] = &task.begin(1200, 9_000)[..] else { panic!("no request") };
    assert_eq!((lease.begun_for, task.begun(1200)), (9_000, None), "the change must be committed first");
    // Another process acquired the lease before that was committed, and started the same due time.
    task.handle(1300, Event::Answer(Outcome::Unknown));
    let since = Lease { begun_for: 9_000, ..lease_of("b", 2) };
    task.handle(5000, Event::Seen { version: 7, lease: since });
    assert_eq!(task.handle(5001, Event::Answer(Outcome::Refused)), []);
    assert_eq!(task.handle(6100, Event::Tick).len(), 1);
    task.handle(6110, Event::Answer(Outcome::Taken { version: 8 }));
    assert_eq!((task.permit(6120).map(|permit| permit.token()), task.begun(6120)), (Some(3), None));
    assert!(!task.waits_to_begin(), "the pending start is dropped");
}

#[test]
fn a_due_time_is_started_once_when_the_lease_records_it() {
    let (mut task, _) = holder();
    assert_eq!(task.begin(1200, 9_000).len(), 1);
    task.handle(1210, Event::Answer(Outcome::Taken { version: 6 }));
    assert_eq!(task.begun(1220).map(|(due, permit)| (due, permit.token())), Some((9_000, 1)));
    assert_eq!(task.begun(1230), None);
}

#[test]
fn a_lease_is_not_released_while_an_act_is_under_way() {
    let (mut task, _) = holder();
    task.handle(1160, Event::Acting(true));
    assert_eq!(task.handle(1200, Event::HandOver("b".into())), []);
    assert_eq!(
        (task.permit(1200), task.handle(1500, Event::Tick)),
        (None, vec![]),
        "nothing is published until the act has ended"
    );
    assert_eq!(task.handle(1600, Event::Acting(false)).len(), 1);
}

#[test]
fn another_process_of_the_same_instance_does_not_continue_its_lease() {
    let mut task = Task::new("a", 10, terms(), 0);
    task.handle(0, Event::Wants(true));
    let lease = Lease { process: 9, ..lease_of("a", 4) };
    assert_eq!(task.handle(5000, Event::Seen { version: 5, lease }), []);
    assert_eq!(task.permit(5000), None);
    assert_eq!(task.handle(6100, Event::Tick).len(), 1, "it waits like a process of another instance");
}

#[test]
fn tokens_of_a_recovered_fleet_are_above_all_that_were_lost() {
    let mut task = Task::new("a", 1, terms(), 0);
    task.handle(0, Event::Wants(true));
    let lease = Lease { held: false, ..lease_of("b", 7) };
    task.handle(0, Event::Recovered(1));
    let [Action::Publish { lease, .. }] = &task.handle(5000, Event::Seen { version: 5, lease })[..] else {
        panic!("no request")
    };
    assert!(lease.token > TOKENS_PER_RECOVERY);
}
