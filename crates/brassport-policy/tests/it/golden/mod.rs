//! Golden tests: texts and bytes that this crate writes and reads must not change. Each case is built in
//! code, encoded and compared with a fixture in `tests/golden`. Decodable cases are also decoded from the
//! fixture and encoded again. `GOLDEN_WRITE=1` rewrites the fixtures, and fails.

mod adapter;
mod handover;
mod settings;
mod wire;

use brassport_golden::{hex, unhex, Fixtures};
use brassport_policy::wire::EVENT_RECORD_BYTES;
use brassport_policy::*;

const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));

/// A fixture with one line per case.
fn lines<T: AsRef<str>>(cases: &[(String, T)]) -> String {
    cases.iter().map(|(name, value)| format!("{name}: {}\n", value.as_ref())).collect()
}

/// The value of a case in a fixture.
fn case<'a>(fixture: &'a str, name: &str) -> &'a str {
    let line = fixture.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    line.unwrap_or_else(|| panic!("no case {name}"))
}

fn sample_plans() -> Vec<Plan> {
    let plan =
        Plan { rate: 20.0, burst: 40.0, value_factor: 1.0, over_quota_cost_fraction: 0.5, ..Plan::default() };
    vec![
        plan,
        Plan {
            hard_limit_rate: 10.0,
            hard_limit_burst: 12.5,
            hard_limit_slack: 2.0,
            over_quota_value_fraction: 0.125,
            ..plan
        },
        Plan { max_in_flight: 1, ..plan },
        Plan::default(),
    ]
}

fn sample_settings() -> Settings {
    let class = |value, retry_safety| Class {
        value,
        latency_target: 800.0,
        deadline: 4000.0,
        late_value_fraction: 0.25,
        retry_safety,
    };
    Settings {
        gateways: 3,
        ordinal: 1,
        zone: 2,
        classes: vec![
            class(3.0, RetrySafety::Idempotent),
            class(1.0, RetrySafety::NonIdempotent),
            class(2.0, RetrySafety::Keyed { scope: Scope::All, window: 1500.0 }),
            class(2.0, RetrySafety::Keyed { scope: Scope::Zone, window: 1500.0 }),
            class(2.0, RetrySafety::Keyed { scope: Scope::Cell, window: 1500.0 }),
        ],
        plans: sample_plans(),
        max_units: 4.0,
        meter_period: 500.0,
        max_attempts: 3,
        allow_hedging: true,
        allow_cancel: true,
        max_retry_after: 700.0,
        drain_grace: 500.0,
        warm_up_start_fraction: 0.25,
        warm_up_duration: 18_000.0,
        collapse_load: 2.0,
        collapse_after: 3000.0,
        tick: 4.0,
        list_on_request: true,
        tuning: Tuning { remote_zone_factor: 1.5, replaces_hung: false, ..Tuning::default() },
    }
}

/// All outcomes. The compiler reports a missing one in [`outcome_code`].
const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn outcome_code(outcome: Outcome) -> u16 {
    match outcome {
        Outcome::Ok => 100,
        Outcome::Error => 301,
        Outcome::Overloaded => 302,
        Outcome::TimedOut => 303,
        Outcome::NoConnection => 304,
        Outcome::Reset => 305,
        Outcome::Cancelled => 306,
        Outcome::NotSent => 307,
    }
}

const LIFECYCLES: [Lifecycle; 3] = [Lifecycle::Removed, Lifecycle::Ready, Lifecycle::Draining];

fn lifecycle_code(lifecycle: Lifecycle) -> u8 {
    match lifecycle {
        Lifecycle::Removed => 0,
        Lifecycle::Ready => 1,
        Lifecycle::Draining => 2,
    }
}

const LISTS: [ListKind; 4] = [ListKind::Delta, ListKind::Full, ListKind::Cached, ListKind::Failed];

fn list_code(kind: ListKind) -> u8 {
    match kind {
        ListKind::Delta => 0,
        ListKind::Full => 1,
        ListKind::Cached => 2,
        ListKind::Failed => 3,
    }
}

fn server(id: ServerId, lifecycle: Lifecycle, launched: Option<Millis>) -> ServerEntry {
    ServerEntry {
        id,
        zone: (id % 3) as u16,
        cell: (id % 2) as u16,
        capacity: 1.0,
        lifecycle,
        launched_at: launched,
    }
}

fn request(id: RequestId, plan: usize, class: usize) -> Request {
    Request {
        id,
        customer: 100 + id % 7,
        plan,
        class,
        units: 1.0,
        customer_gateways: 2,
        first_gateway: 1,
        expires_in: 4000.0,
        is_client_retry: id % 5 == 0,
    }
}

/// Builder of an event record: code, instance, and fields at their offsets.
#[derive(Clone)]
struct Record([u8; EVENT_RECORD_BYTES]);

impl Record {
    fn new(code: u8) -> Record {
        Record([0; EVENT_RECORD_BYTES]).put(0, &[code]).put(1, &3u16.to_be_bytes())
    }
    fn put(mut self, at: usize, bytes: &[u8]) -> Record {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
        self
    }
}

fn frame(clock: f64, records: &[Record], tail: &[u8]) -> Vec<u8> {
    let mut body = (records.len() as u32).to_be_bytes().to_vec();
    records.iter().for_each(|record| body.extend(record.0));
    body.extend(tail);
    let mut frame = clock.to_be_bytes().to_vec();
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

/// Settings on the wire that correspond to [`sample_settings`], except for their plans and tuning.
const SETTINGS_WORDS: &str = "balancers=3 ordinal=1 zone=2 classes.count=5 classes.0.semantics=free classes.0.worth=3.0 \
    classes.0.slo=800.0 classes.0.deadline=4000.0 classes.0.lateShare=0.25 classes.1.semantics=single_shot \
    classes.1.worth=1.0 classes.1.slo=800.0 classes.1.deadline=4000.0 classes.1.lateShare=0.25 \
    classes.2.semantics=guarded classes.2.group=all classes.2.dedupWindow=1500.0 classes.2.worth=2.0 \
    classes.2.slo=800.0 classes.2.deadline=4000.0 classes.2.lateShare=0.25 classes.3.semantics=guarded \
    classes.3.group=zone classes.3.dedupWindow=1500.0 classes.3.worth=2.0 classes.3.slo=800.0 \
    classes.3.deadline=4000.0 classes.3.lateShare=0.25 classes.4.semantics=guarded classes.4.group=cell \
    classes.4.dedupWindow=1500.0 classes.4.worth=2.0 classes.4.slo=800.0 classes.4.deadline=4000.0 \
    classes.4.lateShare=0.25 plans.count=1 plans.0.unitsPerS=20.0 plans.0.storeSize=40.0 plans.0.concurrency=7 \
    plans.0.price=1.0 plans.0.excessWorth=0.125 plans.0.overrunCost=0.5 plans.0.neverOverRate=10.0 \
    plans.0.capDepth=12.5 plans.0.tolerance=2.0 familyInfo.mostUnits=4 familyInfo.usePeriod=500.0 \
    bounds.maxAttempts=3 bounds.mayDuplicate=true bounds.cancel=true bounds.retryAfter=true \
    bounds.maxRetryAfter=700.0 rules.stopSendingWithin=500.0 rules.coldFrom=0.25 rules.cold=18000.0 \
    rules.tipMultiple=2.0 rules.fall=3000.0 tick=4.0 registryMode=on_request some.new.key=whatever";

fn settings_text() -> String {
    SETTINGS_WORDS.split_whitespace().collect::<Vec<_>>().join("\n")
}

fn entry_bytes(entry: &ServerEntry) -> Vec<u8> {
    let mut bytes = entry.id.to_be_bytes().to_vec();
    bytes.extend(entry.zone.to_be_bytes());
    bytes.push(0);
    bytes.extend(entry.cell.to_be_bytes());
    bytes.push(lifecycle_code(entry.lifecycle));
    bytes.extend((entry.capacity as f32).to_be_bytes());
    bytes.extend(entry.launched_at.unwrap_or(0.0).to_be_bytes());
    bytes
}
