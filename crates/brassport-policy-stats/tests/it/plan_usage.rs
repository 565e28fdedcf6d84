use brassport_policy_stats::{CustomerReading, PlanUsage};

fn reading(remote_sent: f64, admitted_fraction: f64, estimated_offered: f64) -> CustomerReading {
    CustomerReading { remote_sent, local_offered: 0.0, admitted_fraction, estimated_offered }
}

/// One customer in eight is heavy; each is read as often as it is admitted.
#[test]
fn readings_of_admitted_customers_yield_the_mean_offered_load() {
    let mut usage = PlanUsage::new(0.5);
    let kinds: [(f64, usize); 2] = [(0.5, 14), (2.5, 2)];
    // Per turn as many attempts as each offers; readings come of those that are admitted.
    for _ in 0..400 {
        for (offers, customers) in kinds {
            for _ in 0..customers * (2.0 * offers) as usize {
                usage.record_arrival(0.4, 0.03);
            }
            for _ in 0..customers * (2.0 * offers) as usize {
                usage.observe(reading(0.4 * offers, 0.4, offers), 0.01);
            }
        }
    }
    let plain = (0.5 * 14.0 + 2.5 * 2.0) / 16.0;
    assert!((usage.offered - plain).abs() < 0.1, "{} of {plain} offered", usage.offered);
    assert!((usage.remote_admitted_fraction(1.0, 0.0) - 0.4).abs() < 1e-3, "as of all customers");
    assert_eq!(usage.remote_admitted_fraction(0.9, 1.0), 0.9, "as here, with full confidence");
}

#[test]
fn remote_usage_is_scaled_by_the_remote_admitted_fraction() {
    let mut usage = PlanUsage::new(0.5);
    for _ in 0..500 {
        usage.record_arrival(0.8, 0.03);
        // This instance admits a tenth of that customer.
        usage.observe(reading(2.0, 0.1, 1.0), 0.05);
    }
    assert!((usage.offered - 2.5).abs() < 0.01, "{}", usage.offered);
}

#[test]
fn customers_that_are_read_more_often_do_not_raise_the_mean() {
    let learn = |weighed: bool| {
        let mut usage = PlanUsage::new(1.0);
        for turn in 0..2000 {
            let offers = if turn % 5 == 0 { 3.0 } else { 0.75 };
            usage.observe(reading(offers, 1.0, if weighed { offers } else { 1.0 }), 0.01);
        }
        usage.offered
    };
    assert!(learn(true) < learn(false) - 0.1, "{} and {}", learn(true), learn(false));
}
