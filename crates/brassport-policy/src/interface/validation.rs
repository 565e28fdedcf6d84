//! Validation of settings. Errors name the fields by their outer names, as in the JSON form of the settings.

use super::{Class, Plan, RetrySafety, Settings};
use std::fmt;

/// Maximum of every time, rate and value in the settings; keeps sums of such numbers exact enough.
pub(super) const MAX_VALUE: f64 = 1e12;

/// A setting that is out of range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// Outer name of the field, for example `plans[2].rate`.
    pub field: String,
    /// Description of the violated range.
    pub problem: &'static str,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for InvalidSetting {}

/// Whether a number may be 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Zero {
    Allowed,
    Invalid,
}

/// A number to check, with its outer name.
struct Number {
    field: String,
    value: f64,
    zero: Zero,
}

impl Number {
    fn new(field: impl Into<String>, value: f64, zero: Zero) -> Number {
        Number { field: field.into(), value, zero }
    }

    fn check(self) -> Result<(), InvalidSetting> {
        if !(0.0..=MAX_VALUE).contains(&self.value) {
            let problem = "must be a finite number, not below 0, and 1e12 at the most";
            return Err(InvalidSetting { field: self.field, problem });
        }
        if self.zero == Zero::Invalid && self.value == 0.0 {
            return Err(InvalidSetting { field: self.field, problem: "must be above 0" });
        }
        Ok(())
    }
}

impl Settings {
    /// Whether a running gateway can switch from `current` to these settings: they are valid and have no
    /// fewer classes or plans, since requests and statistics refer to both by index.
    pub fn can_replace(&self, current: &Settings) -> bool {
        let keeps = self.classes.len() >= current.classes.len() && self.plans.len() >= current.plans.len();
        keeps && self.validate().is_ok()
    }

    /// Checks the range of every number.
    ///
    /// # Errors
    /// Returns the first field that is out of range.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        for (field, count) in [("gateways", self.gateways), ("max_attempts", self.max_attempts)] {
            if count == 0 {
                return Err(InvalidSetting { field: field.into(), problem: "must be at least 1" });
            }
        }
        let mut numbers = self.top_level_numbers();
        let classes = self.classes.iter().enumerate();
        numbers.extend(classes.flat_map(|(index, class)| class_numbers(index, class)));
        let plans = self.plans.iter().enumerate();
        numbers.extend(plans.flat_map(|(index, plan)| plan_numbers(index, plan)));
        numbers.into_iter().try_for_each(Number::check)
    }

    fn top_level_numbers(&self) -> Vec<Number> {
        let tuning = &self.tuning;
        vec![
            Number::new("max_units", self.max_units, Zero::Invalid),
            Number::new("meter_period", self.meter_period, Zero::Allowed),
            Number::new("max_retry_after", self.max_retry_after, Zero::Allowed),
            Number::new("drain_grace", self.drain_grace, Zero::Allowed),
            Number::new("cold_from", self.warm_up_start_fraction, Zero::Allowed),
            Number::new("cold_for", self.warm_up_duration, Zero::Allowed),
            Number::new("tip_multiple", self.collapse_load, Zero::Allowed),
            Number::new("tip_after", self.collapse_after, Zero::Allowed),
            Number::new("tick", self.tick, Zero::Allowed),
            Number::new("tuning.far", tuning.remote_zone_factor, Zero::Invalid),
            Number::new("tuning.late", tuning.late_after_fraction, Zero::Invalid),
            Number::new("tuning.start", tuning.initial_admitted_fraction, Zero::Invalid),
            Number::new("tuning.retry_share", tuning.retry_ratio, Zero::Allowed),
            Number::new("tuning.retries", tuning.max_retry_budget, Zero::Allowed),
        ]
    }
}

fn class_numbers(index: usize, class: &Class) -> Vec<Number> {
    let number = |name, value, zero| Number::new(format!("classes[{index}].{name}"), value, zero);
    let mut numbers = vec![
        number("worth", class.value, Zero::Allowed),
        number("aim", class.latency_target, Zero::Invalid),
        number("deadline", class.deadline, Zero::Invalid),
        number("late_share", class.late_value_fraction, Zero::Allowed),
    ];
    if let RetrySafety::Keyed { window, .. } = class.retry_safety {
        numbers.push(number("effect.window", window, Zero::Allowed));
    }
    numbers
}

fn plan_numbers(index: usize, plan: &Plan) -> Vec<Number> {
    let number = |name, value, zero| Number::new(format!("plans[{index}].{name}"), value, zero);
    let burst_zero = if plan.rate > 0.0 { Zero::Invalid } else { Zero::Allowed };
    vec![
        number("rate", plan.rate, Zero::Allowed),
        number("burst", plan.burst, burst_zero),
        number("price", plan.value_factor, Zero::Allowed),
        number("over_worth", plan.over_quota_value_fraction, Zero::Allowed),
        number("over_cost", plan.over_quota_cost_fraction, Zero::Allowed),
        number("ceiling_rate", plan.hard_limit_rate, Zero::Allowed),
        number("ceiling_burst", plan.hard_limit_burst, Zero::Allowed),
        number("ceiling_slack", plan.hard_limit_slack, Zero::Allowed),
    ]
}
