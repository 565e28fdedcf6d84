//! Golden tests of settings as JSON and on the wire, and of the errors of missing, unreadable or invalid
//! settings.

use super::*;
use brassport_policy::wire::parse_settings;

#[test]
fn valid_settings_decode_as_before() {
    let read = parse_settings(&settings_text()).expect("valid");
    let plain = parse_settings(
        &settings_text()
            .replace("registryMode=on_request", "registryMode=pushed")
            .replace("retryAfter=true\nbounds.maxRetryAfter=700.0", "retryAfter=false"),
    );
    let write = |settings: &Settings| serde_json::to_string(settings).expect("JSON");
    let cases = [
        ("read".to_string(), write(&read)),
        ("read, pushed and without advice".to_string(), write(&plain.expect("valid"))),
        ("default".to_string(), write(&Settings::default())),
        ("sample".to_string(), write(&sample_settings())),
    ];
    let fixture = GOLDEN.same_text("settings.txt", &lines(&cases));
    for ((name, _), value) in cases.iter().zip([Some(read), None, Some(Settings::default()), None]) {
        let text = case(&fixture, name);
        let decoded: Settings = serde_json::from_str(text).expect("valid");
        assert_eq!(write(&decoded), text, "{name}");
        assert!(value.is_none_or(|value| value == decoded), "{name}");
    }
}

#[test]
fn errors_of_missing_or_unreadable_settings_are_unchanged() {
    let text = settings_text();
    let mut reported = Vec::new();
    for line in text.lines().filter(|line| !line.starts_with("some.")) {
        let key = line.split('=').next().expect("a key");
        let without: Vec<_> = text.lines().filter(|other| *other != line).collect();
        let broken = text.replace(line, &format!("{key}=?"));
        for (how, text) in [("missing", without.join("\n")), ("unreadable", broken)] {
            let error = parse_settings(&text).expect_err(key);
            reported.push((format!("{key} {how}"), error.to_string()));
        }
    }
    GOLDEN.same_text("settings-unreadable.txt", &lines(&reported));
}

/// Sets a number in the settings.
type Change = fn(&mut Settings, f64);

/// One change for each number in the settings. Indices are part of the fixture.
const CHANGES: [Change; 28] = [
    |settings, value| settings.max_units = value,
    |settings, value| settings.meter_period = value,
    |settings, value| settings.max_retry_after = value,
    |settings, value| settings.drain_grace = value,
    |settings, value| settings.warm_up_start_fraction = value,
    |settings, value| settings.warm_up_duration = value,
    |settings, value| settings.collapse_load = value,
    |settings, value| settings.collapse_after = value,
    |settings, value| settings.tick = value,
    |settings, value| settings.tuning.remote_zone_factor = value,
    |settings, value| settings.tuning.late_after_fraction = value,
    |settings, value| settings.tuning.initial_admitted_fraction = value,
    |settings, value| settings.tuning.retry_ratio = value,
    |settings, value| settings.tuning.max_retry_budget = value,
    |settings, value| settings.classes[1].value = value,
    |settings, value| settings.classes[1].latency_target = value,
    |settings, value| settings.classes[1].deadline = value,
    |settings, value| settings.classes[1].late_value_fraction = value,
    |settings, value| {
        settings.classes[1].retry_safety = RetrySafety::Keyed { scope: Scope::All, window: value }
    },
    |settings, value| settings.plans[1].rate = value,
    |settings, value| settings.plans[1].burst = value,
    |settings, value| settings.plans[1].value_factor = value,
    |settings, value| settings.plans[1].over_quota_value_fraction = value,
    |settings, value| settings.plans[1].over_quota_cost_fraction = value,
    |settings, value| settings.plans[1].hard_limit_rate = value,
    |settings, value| settings.plans[1].hard_limit_burst = value,
    |settings, value| settings.plans[1].hard_limit_slack = value,
    |settings, value| {
        settings.plans[1].rate = 0.0;
        settings.plans[1].burst = value;
    },
];

#[test]
fn errors_of_settings_out_of_range_are_unchanged() {
    let result = |settings: Settings| match Gateway::new(settings, 1, 0.0) {
        Ok(_) => "taken".to_string(),
        Err(error) => format!("{error}; field {}", error.field),
    };
    let mut reported = vec![
        ("gateways".to_string(), result(Settings { gateways: 0, ..sample_settings() })),
        ("attempts".to_string(), result(Settings { max_attempts: 0, ..sample_settings() })),
    ];
    for (number, change) in CHANGES.iter().enumerate() {
        for value in [f64::NAN, -1.0, 0.0, 1e12, 2e12] {
            let mut settings = sample_settings();
            change(&mut settings, value);
            reported.push((format!("figure {number} as {value}"), result(settings)));
        }
    }
    GOLDEN.same_text("settings-senseless.txt", &lines(&reported));
}
