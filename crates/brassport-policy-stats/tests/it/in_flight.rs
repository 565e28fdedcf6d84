use brassport_policy_stats::{AttemptHandle, InFlightAttempts, Millis};
use proptest::prelude::*;

#[derive(Debug, Clone, Copy)]
enum Step {
    Start,
    Finish(usize),
    FinishAgain(usize),
    Wait(u16),
    Query(usize),
    SetWindows(u16, u16),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Start),
        3 => any::<usize>().prop_map(Step::Finish),
        1 => any::<usize>().prop_map(Step::FinishAgain),
        2 => (0u16..400).prop_map(Step::Wait),
        2 => (0usize..2).prop_map(Step::Query),
        1 => (1u16..1500, 1u16..1500).prop_map(|(a, b)| Step::SetWindows(a, b)),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    #[test]
    fn attempts_within_an_age_match_a_linear_scan(steps in steps()) {
        let mut windows = [500.0, 1000.0];
        let mut counts = InFlightAttempts::new(windows);
        let mut model: Vec<(AttemptHandle, Millis)> = Vec::new();
        let mut finished = Vec::new();
        let mut now = 0.0;
        for step in steps {
            match step {
                Step::Start => model.push((counts.start(now), now)),
                Step::Finish(index) if !model.is_empty() => {
                    let (handle, _) = model.swap_remove(index % model.len());
                    counts.finish(handle);
                    finished.push(handle);
                }
                Step::Finish(_) => {}
                Step::FinishAgain(index) => {
                    let repeated = finished.get(index % finished.len().max(1)).copied();
                    repeated.into_iter().for_each(|handle| counts.finish(handle));
                }
                Step::SetWindows(first, second) => {
                    windows = [f64::from(first), f64::from(second)];
                    counts.set_windows(windows);
                }
                Step::Wait(millis) => now += f64::from(millis),
                Step::Query(window) => {
                    let expected = model.iter().filter(|(_, at)| *at > now - windows[window]).count();
                    prop_assert_eq!(counts.count_within(window, now), expected);
                }
            }
            prop_assert_eq!(counts.len(), model.len());
        }
        for (handle, _) in model {
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
