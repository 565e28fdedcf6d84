use brassport_policy_stats::{AttemptHandle, InFlightAttempts, Millis};
use proptest::prelude::*;

#[derive(Debug, Clone, Copy)]
enum Step {
    Start,
    Finish(usize),
    FinishAgain(usize),
    Wait(u16),
    Query(usize),
    Windows(u16, u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Start),
        3 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::FinishAgain),
        2 => (0u16..400).prop_map(Step::Wait),
        2 => (0usize..2).prop_map(Step::Query),
        1 => (1u16..1500, 1u16..1500).prop_map(|(a, b)| Step::Windows(a, b)),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    #[test]
    fn attempts_within_an_age_match_a_linear_scan(steps in steps()) {
        let mut windows = [500.0, 1000.0];
        let mut counts = InFlightAttempts::new(windows);
        let mut plain: Vec<(AttemptHandle, Millis)> = Vec::new();
        let mut ended = Vec::new();
        let mut now = 0.0;
        for step in steps {
            match step {
                Step::Start => plain.push((counts.start(now), now)),
                Step::Finish(which) if !plain.is_empty() => {
                    let (handle, _) = plain.swap_remove(which % plain.len());
                    counts.finish(handle);
                    ended.push(handle);
                }
                Step::Finish(_) => {}
                Step::FinishAgain(which) => {
                    let again = ended.get(which % ended.len().max(1)).copied();
                    again.into_iter().for_each(|handle| counts.finish(handle));
                }
                Step::Windows(first, second) => {
                    windows = [f64::from(first), f64::from(second)];
                    counts.set_windows(windows);
                }
                Step::Wait(millis) => now += f64::from(millis),
                Step::Query(span) => {
                    let young = plain.iter().filter(|(_, at)| *at > now - windows[span]).count();
                    prop_assert_eq!(counts.count_within(span, now), young);
                }
            }
            prop_assert_eq!(counts.len(), plain.len());
        }
        for (handle, _) in plain {
            counts.finish(handle);
        }
        prop_assert!(counts.retained_entries() == 0);
    }
}

#[test]
fn an_attempt_as_old_as_the_window_is_outside_it() {
    let mut counts = InFlightAttempts::new([100.0]);
    let first = counts.start(0.0);
    counts.start(50.0);
    assert_eq!(counts.count_within(0, 99.0), 2);
    assert_eq!(counts.count_within(0, 100.0), 1);
    counts.finish(first);
    assert_eq!((counts.count_within(0, 100.0), counts.len()), (1, 1));
}
