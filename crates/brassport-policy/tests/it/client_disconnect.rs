//! Client disconnects: which attempts are cancelled, and that nothing is retried.

use crate::common::*;
use brassport_policy::*;
use test_case::test_case;

/// Classes of [`settings`].
const IDEMPOTENT: usize = 0;
const NON_IDEMPOTENT: usize = 1;
const KEYED: usize = 2;
/// The plan of [`settings`] without limits.
const UNLIMITED: usize = 3;

/// The attempts that are cancelled, with their requests.
fn cancels(actions: &[Action]) -> Vec<(RequestId, u8)> {
    let cancel = |action: &Action| match action {
        Action::Cancel { request, attempt } => Some((*request, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(cancel).collect()
}

#[test_case(Outcome::Cancelled; "cancelled after the send")]
#[test_case(Outcome::NotSent; "never sent")]
fn idempotent_attempts_are_cancelled_and_nothing_follows(outcome: Outcome) {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let (id, first) = host.submit(1, UNLIMITED, IDEMPOTENT);
    assert_eq!(sends(&first).len(), 1);
    assert_eq!(cancels(&host.event(Event::ClientDisconnected(id))), [(id, 0)]);
    let after = host.end(id, 0, outcome, None);
    assert!(sends(&after).is_empty() && !is_rejected(&after) && !is_failed(&after), "{after:?}");
    let late = host.run_timers(10_000.0);
    assert!(cancels(&late).is_empty() && sends(&late).is_empty() && !is_failed(&late), "{late:?}");
}

#[test_case(NON_IDEMPOTENT; "non-idempotent")]
#[test_case(KEYED; "keyed")]
fn attempts_that_are_not_idempotent_run_to_their_end(class: usize) {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let (id, _) = host.submit(1, UNLIMITED, class);
    assert!(cancels(&host.event(Event::ClientDisconnected(id))).is_empty());
    assert!(sends(&host.end(id, 0, Outcome::Overloaded, None)).is_empty(), "retried after the disconnect");
}

#[test]
fn nothing_is_cancelled_if_settings_forbid_it() {
    let settings = Settings { allow_cancel: false, ..settings() };
    let mut host = Host::new(settings, &[server(1)]);
    let (id, _) = host.submit(1, UNLIMITED, IDEMPOTENT);
    assert!(cancels(&host.event(Event::ClientDisconnected(id))).is_empty());
}

#[test]
fn cancellation_on_disconnect_does_not_depend_on_replacing_hung_servers() {
    let tuning = Tuning { replaces_hung: false, ..settings().tuning };
    let settings = Settings { tuning, ..settings() };
    let mut host = Host::new(settings, &[server(1), server(2)]);
    let (id, _) = host.submit(1, UNLIMITED, IDEMPOTENT);
    let silent = host.run_timers(900.0);
    assert!(cancels(&silent).is_empty(), "the only attempt is not replaced: {silent:?}");
    assert_eq!(cancels(&host.event(Event::ClientDisconnected(id))), [(id, 0)]);
}

/// Submits requests one after another. `ends` has the outcome and duration of the attempts at servers 1 and
/// 2. Returns the number of requests sent to server 1.
fn sends_to_first(host: &mut Host, requests: usize, ends: [(Outcome, Millis); 2]) -> usize {
    let mut to_first = 0;
    for _ in 0..requests {
        let (request, actions) = host.submit(1, UNLIMITED, IDEMPOTENT);
        let server = sends(&actions)[0];
        let (outcome, elapsed) = ends[server as usize - 1];
        if outcome == Outcome::Cancelled {
            host.event(Event::ClientDisconnected(request));
        }
        to_first += usize::from(server == 1);
        let end = AttemptEnd { request, attempt: 0, outcome, elapsed, finished: true, used: None };
        host.event(Event::AttemptEnd(end));
        host.now += 10.0;
    }
    to_first
}

#[test]
fn disconnects_do_not_lower_a_servers_latency_ratio() {
    const NORMAL: (Outcome, Millis) = (Outcome::Ok, 50.0);
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    sends_to_first(&mut host, 1000, [NORMAL; 2]);
    let to_first = sends_to_first(&mut host, 200, [(Outcome::Cancelled, 5.0), NORMAL]);
    assert!(
        (60..=140).contains(&to_first),
        "{to_first} of 200 sent to the server whose clients disconnect after 5 ms"
    );
}
