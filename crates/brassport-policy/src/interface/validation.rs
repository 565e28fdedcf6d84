//! Validation of settings.

use super::{Class, Effect, Plan, Settings};
use std::fmt;

/// No time, rate or value is greater, so that sums of such numbers stay exact enough.
pub(super) const MAX_FIGURE: f64 = 1e12;

/// A setting that is out of its range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The field, as `plans[2].rate`.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for InvalidSetting {}

/// Whether a figure may be 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Zero {
    Allowed,
    Invalid,
}

/// A figure to check.
struct Figure {
    field: String,
    value: f64,
    zero: Zero,
}

impl Figure {
    fn new(field: impl Into<String>, value: f64, zero: Zero) -> Figure {
        Figure { field: field.into(), value, zero }
    }

    fn check(self) -> Result<(), InvalidSetting> {
        if !(0.0..=MAX_FIGURE).contains(&self.value) {
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
    /// Whether a running gateway can change from `others` to these: they are valid, and have no fewer classes
    /// or plans, as both keep their indices.
    pub fn can_replace(&self, others: &Settings) -> bool {
        let keeps = self.classes.len() >= others.classes.len() && self.plans.len() >= others.plans.len();
        keeps && self.validate().is_ok()
    }

    /// Checks the range of every figure.
    ///
    /// # Errors
    /// Names the first field that is out of its range.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        for (field, count) in [("gateways", self.gateways), ("max_attempts", self.max_attempts)] {
            if count == 0 {
                return Err(InvalidSetting { field: field.into(), problem: "must be at least 1" });
            }
        }
        let mut figures = self.own_figures();
        let classes = self.classes.iter().enumerate();
        figures.extend(classes.flat_map(|(index, class)| class_figures(index, class)));
        let plans = self.plans.iter().enumerate();
        figures.extend(plans.flat_map(|(index, plan)| plan_figures(index, plan)));
        figures.into_iter().try_for_each(Figure::check)
    }

    fn own_figures(&self) -> Vec<Figure> {
        let tuning = &self.tuning;
        vec![
            Figure::new("max_units", self.max_units, Zero::Invalid),
            Figure::new("meter_period", self.meter_period, Zero::Allowed),
            Figure::new("max_retry_after", self.max_retry_after, Zero::Allowed),
            Figure::new("drain_grace", self.drain_grace, Zero::Allowed),
            Figure::new("cold_from", self.cold_from, Zero::Allowed),
            Figure::new("cold_for", self.cold_for, Zero::Allowed),
            Figure::new("tip_multiple", self.tip_multiple, Zero::Allowed),
            Figure::new("tip_after", self.tip_after, Zero::Allowed),
            Figure::new("tick", self.tick, Zero::Allowed),
            Figure::new("tuning.far", tuning.far, Zero::Invalid),
            Figure::new("tuning.late", tuning.late, Zero::Invalid),
            Figure::new("tuning.start", tuning.start, Zero::Invalid),
            Figure::new("tuning.retry_share", tuning.retry_share, Zero::Allowed),
            Figure::new("tuning.retries", tuning.retries, Zero::Allowed),
        ]
    }
}

fn class_figures(index: usize, class: &Class) -> Vec<Figure> {
    let figure = |name, value, zero| Figure::new(format!("classes[{index}].{name}"), value, zero);
    let mut figures = vec![
        figure("worth", class.worth, Zero::Allowed),
        figure("aim", class.aim, Zero::Invalid),
        figure("deadline", class.deadline, Zero::Invalid),
        figure("late_share", class.late_share, Zero::Allowed),
    ];
    if let Effect::Keyed { window, .. } = class.effect {
        figures.push(figure("effect.window", window, Zero::Allowed));
    }
    figures
}

fn plan_figures(index: usize, plan: &Plan) -> Vec<Figure> {
    let figure = |name, value, zero| Figure::new(format!("plans[{index}].{name}"), value, zero);
    let burst_zero = if plan.rate > 0.0 { Zero::Invalid } else { Zero::Allowed };
    vec![
        figure("rate", plan.rate, Zero::Allowed),
        figure("burst", plan.burst, burst_zero),
        figure("price", plan.price, Zero::Allowed),
        figure("over_worth", plan.over_worth, Zero::Allowed),
        figure("over_cost", plan.over_cost, Zero::Allowed),
        figure("ceiling_rate", plan.ceiling_rate, Zero::Allowed),
        figure("ceiling_burst", plan.ceiling_burst, Zero::Allowed),
        figure("ceiling_slack", plan.ceiling_slack, Zero::Allowed),
    ]
}
