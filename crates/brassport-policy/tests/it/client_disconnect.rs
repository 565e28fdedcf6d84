//! What becomes of the attempts of a request whose client has left.

use crate::common::*;
use brassport_policy::*;
use test_case::test_case;

/// Classes of [`settings`]: free of effects, once, keyed.
const FREE: usize = 0;
const ONCE: usize = 1;
const KEYED: usize = 2;
/// The plan without limits.
const UNLIMITED: usize = 3;

fn cancels(actions: &[Action]) -> Vec<(RequestId, u8)> {
    let cancel = |action: &Action| match action {
        Action::Cancel { request, attempt } => Some((*request, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(cancel).collect()
}

#[test_case(Outcome::Cancelled; "cut off at its server")]
#[test_case(Outcome::NotSent; "never sent")]
fn idempotent_attempts_are_cancelled_and_nothing_follows(outcome: Outcome) {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let (id, first) = host.submit(1, UNLIMITED, FREE);
    assert_eq!(sends(&first).len(), 1);
    assert_eq!(cancels(&host.event(Event::ClientDisconnected(id))), [(id, 0)]);
    let after = host.end(id, 0, outcome, None);
    assert!(sends(&after).is_empty() && !refused(&after) && !failed(&after), "{after:?}");
    let late = host.run_timers(10_000.0);
    assert!(cancels(&late).is_empty() && sends(&late).is_empty() && !failed(&late), "{late:?}");
}

#[test_case(ONCE; "once")]
#[test_case(KEYED; "keyed")]
fn attempts_with_an_effect_run_to_their_end(class: usize) {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let (id, _) = host.submit(1, UNLIMITED, class);
    assert!(cancels(&host.event(Event::ClientDisconnected(id))).is_empty());
    assert!(
        sends(&host.end(id, 0, Outcome::Overloaded, None)).is_empty(),
        "nobody waits for another attempt"
    );
}

#[test]
fn nothing_is_cancelled_where_that_is_not_allowed() {
    let settings = Settings { allow_cancel: false, ..settings() };
    let mut host = Host::new(settings, &[server(1)]);
    let (id, _) = host.submit(1, UNLIMITED, FREE);
    assert!(cancels(&host.event(Event::ClientDisconnected(id))).is_empty());
}

#[test]
fn cancellation_on_disconnect_does_not_depend_on_replacing_hung_servers() {
    let tuning = Tuning { replaces_hung: false, ..settings().tuning };
    let settings = Settings { tuning, ..settings() };
    let mut host = Host::new(settings, &[server(1), server(2)]);
    let (id, _) = host.submit(1, UNLIMITED, FREE);
    let silent = host.run_timers(900.0);
    assert!(cancels(&silent).is_empty(), "the only attempt is seen to its end: {silent:?}");
    assert_eq!(cancels(&host.event(Event::ClientDisconnected(id))), [(id, 0)]);
}

/// Makes so many requests, one after another, of which each server's end in its way. How many went to the first.
fn to_the_first(host: &mut Host, requests: usize, ends: [(Outcome, Millis); 2]) -> usize {
    let mut to_first = 0;
    for _ in 0..requests {
        let (request, actions) = host.submit(1, UNLIMITED, FREE);
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
fn disconnects_do_not_lower_a_servers_measured_pace() {
    const AS_EVER: (Outcome, Millis) = (Outcome::Ok, 50.0);
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    to_the_first(&mut host, 1000, [AS_EVER; 2]);
    let to_first = to_the_first(&mut host, 200, [(Outcome::Cancelled, 5.0), AS_EVER]);
    assert!((60..=140).contains(&to_first), "{to_first} of 200 went where clients leave after 5 ms");
}
