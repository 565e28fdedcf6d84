use brassport_policy_stats::{CustomerReading, PlanUsage};

fn reading(remote_sent: f64, admitted_fraction: f64, estimated_offered: f64) -> CustomerReading {
    CustomerReading { remote_sent, local_offered: 0.0, admitted_fraction, estimated_offered }
}

/// One customer in eight offers 2.5 quotas, the others 0.5. The number of a customer's readings is
/// proportional to its admitted load.
#[test]
fn readings_of_admitted_customers_yield_the_mean_offered_load() {
    let mut usage = PlanUsage::new(0.5);
    let customer_groups: [(f64, usize); 2] = [(0.5, 14), (2.5, 2)];
    // In each round, customers make attempts in proportion to their offered load, and each gives a reading.
    for _ in 0..400 {
        for (offered, customers) in customer_groups {
            for _ in 0..customers * (2.0 * offered) as usize {
                usage.record_arrival(0.4, 0.03);
            }
            for _ in 0..customers * (2.0 * offered) as usize {
                usage.observe(reading(0.4 * offered, 0.4, offered), 0.01);
            }
        }
    }
    let expected = (0.5 * 14.0 + 2.5 * 2.0) / 16.0;
    assert!((usage.offered - expected).abs() < 0.1, "{} instead of {expected}", usage.offered);
    assert!(
        (usage.remote_admitted_fraction(1.0, 0.0) - 0.4).abs() < 1e-3,
        "without confidence, the fraction of all customers"
    );
    assert_eq!(usage.remote_admitted_fraction(0.9, 1.0), 0.9, "with full confidence, the local fraction");
}

#[test]
fn remote_usage_is_scaled_by_the_remote_admitted_fraction() {
    let mut usage = PlanUsage::new(0.5);
    for _ in 0..500 {
        usage.record_arrival(0.8, 0.03);
        // A tenth of this customer's first attempts is admitted. The scaling uses the fraction of all
        // customers, 0.8.
        usage.observe(reading(2.0, 0.1, 1.0), 0.05);
    }
    assert!((usage.offered - 2.5).abs() < 0.01, "{}", usage.offered);
}

#[test]
fn customers_that_are_read_more_often_do_not_raise_the_mean() {
    let mean_offered = |is_weighted: bool| {
        let mut usage = PlanUsage::new(1.0);
        for round in 0..2000 {
            let offered = if round % 5 == 0 { 3.0 } else { 0.75 };
            usage.observe(reading(offered, 1.0, if is_weighted { offered } else { 1.0 }), 0.01);
        }
        usage.offered
    };
    assert!(
        mean_offered(true) < mean_offered(false) - 0.1,
        "{} and {}",
        mean_offered(true),
        mean_offered(false)
    );
}
