use brassport_policy_stats::DueQueue;

#[test]
fn due_entries_come_out_in_order() {
    let mut queue = DueQueue::default();
    for (due, id) in [(3.0, 1), (1.5, 2), (-4.0, 3), (1.5, 1)] {
        queue.push(due, id);
    }
    assert_eq!(queue.pop_due(-1.0), None);
    let order: Vec<_> = std::iter::from_fn(|| queue.pop_due(2.0)).collect();
    assert_eq!(order, [(0.0, 3), (1.5, 1), (1.5, 2)]);
    assert_eq!(queue.pop_due(3.0), Some((3.0, 1)));
}
