use brassport_policy_stats::RejectionCounts;

#[test]
fn log_lines_are_due_once_a_second() {
    let mut counts = RejectionCounts::new(0.0);
    (counts.no_capacity, counts.no_server) = (3, 2);
    assert!(counts.take_log_lines(999.0, 0.5).is_empty());
    let lines = counts.take_log_lines(1000.0, 0.5);
    assert_eq!(lines, ["pressed: room for 0.50 of what the quotas admit", "no server to send to: 2 refused"]);
    assert_eq!((counts.total_no_capacity(), counts.total_no_server()), (3, 2), "the totals are kept");
    counts.no_capacity = 1;
    assert!(counts.take_log_lines(2000.0, 0.4).is_empty(), "an unchanged overload is not logged again");
    assert_eq!(
        counts.take_log_lines(3000.0, 0.6),
        ["pressed no more: room for 0.60 of what the quotas admit"]
    );
}
