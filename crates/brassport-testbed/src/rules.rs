//! The rules, judged on what everybody saw. Each is a plain function that can fail.

use crate::history::{Attempt, AttemptOutcome, History, ObservedVersion, Run};
use crate::http::Failure;
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddrV4;

/// Within so many seconds of its acknowledgement a configuration is in force.
pub const APPLY_S: f64 = 2.0;
/// The window that quotas are judged in, in seconds.
pub const QUOTA_WINDOW_S: f64 = 5.0;

/// Work may go on so many seconds behind its client's leaving.
pub const WORK_ENDS_S: f64 = 0.5;
/// A node counts as disturbed for so many seconds after a kill, a start or a suspension.
pub const IN_TOUCH_S: f64 = 3.0;
/// A process that starts has so long, in seconds, to learn what it missed (`catchUpS`).
pub const CATCH_UP_S: f64 = 4.0;

/// How a rule was broken.
#[derive(Debug, Clone, PartialEq, Eq, miette::Diagnostic)]
pub struct Violation(pub String);

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Violation {}

/// A rule: kept, or how not.
pub type Rule = fn(&History) -> Result<(), Violation>;

/// All rules with their names.
pub const ALL: [(&str, Rule); 11] = [
    ("an unsafe try runs once", unsafe_runs_once),
    ("what was refused never ran", refused_never_ran),
    ("a success carries seal and id", success_is_sealed),
    ("no key reaches a backend", no_key_reached),
    ("the tenant is named right", tenant_is_right),
    ("a request runs where a configuration allows", runs_where_allowed),
    ("no tenant is above its quota", quota_holds),
    ("what was acknowledged is read back", acknowledged_is_read),
    ("a new route is in force in time", newest_is_in_force),
    ("work ends with its client", work_ends_with_client),
    ("what a backend ran is answered", what_ran_is_answered),
];

fn violation<T>(what: String) -> Result<T, Violation> {
    Err(Violation(what))
}

fn by_id(history: &History) -> HashMap<&str, &Attempt> {
    history.attempts.iter().map(|it| (it.id.as_str(), it)).collect()
}

/// Each run with its attempt.
fn pairs(history: &History) -> impl Iterator<Item = (&Run, &Attempt)> {
    let attempts = by_id(history);
    history.runs.iter().filter_map(move |run| Some((run, *attempts.get(run.id.as_str())?)))
}

/// No non-idempotent attempt runs twice, and nothing runs that no client sent.
///
/// # Errors
/// One did.
pub fn unsafe_runs_once(history: &History) -> Result<(), Violation> {
    let attempts = by_id(history);
    let mut seen = HashSet::new();
    for run in &history.runs {
        let Some(it) = attempts.get(run.id.as_str()) else {
            return violation(format!("{} ran, and nobody sent it", run.id));
        };
        if !it.is_safe && !seen.insert(&run.id) {
            return violation(format!("unsafe {} at {} ran again, at {:.3} s", it.id, it.path, run.at));
        }
    }
    Ok(())
}

/// What was answered with 408, 421, 429 or 503 has not run.
///
/// # Errors
/// It has.
pub fn refused_never_ran(history: &History) -> Result<(), Violation> {
    for (run, it) in pairs(history) {
        if let Some((at, AttemptOutcome::Answer { status: status @ (408 | 421 | 429 | 503), .. })) = &it.ended
        {
            return violation(format!(
                "{} ran at {:.3} s ({}) and was answered with {status} at {at:.3} s",
                it.id, run.at, run.seal
            ));
        }
    }
    Ok(())
}

/// A 2xx has the right id, the right body, and the seal of a run of this very attempt.
///
/// # Errors
/// One hasn't.
pub fn success_is_sealed(history: &History) -> Result<(), Violation> {
    let seals: HashSet<(&str, &str)> =
        history.runs.iter().map(|run| (run.id.as_str(), run.seal.as_str())).collect();
    for it in &history.attempts {
        let Some((at, AttemptOutcome::Answer { status: 200..=299, seal, id, is_complete })) = &it.ended
        else {
            continue;
        };
        let what = match seal {
            None => "has no seal",
            Some(_) if id.as_deref() != Some(&it.id) => "has another id",
            Some(seal) if !seals.contains(&(it.id.as_str(), seal.as_str())) => "has the seal of no run of it",
            Some(_) if !is_complete => "has another body",
            Some(_) => continue,
        };
        return violation(format!("the success of {} at {at:.3} s {what}", it.id));
    }
    Ok(())
}

/// No backend saw a key.
///
/// # Errors
/// One did.
pub fn no_key_reached(history: &History) -> Result<(), Violation> {
    match history.runs.iter().find(|run| run.has_key) {
        Some(run) => violation(format!("{} came with its key", run.id)),
        None => Ok(()),
    }
}

/// A backend receives the tenant whose key the client sent, and nothing runs without a key that needs one.
///
/// # Errors
/// It received another, or such a request ran.
pub fn tenant_is_right(history: &History) -> Result<(), Violation> {
    for (run, it) in pairs(history) {
        if run.customer != it.tenant {
            return violation(format!("{} of {:?} came as one of {:?}", it.id, it.tenant, run.customer));
        }
        let mut routes = history.sent.iter().filter_map(|sent| sent.plan.route(&it.host, &it.path));
        if it.tenant.is_none() && !routes.any(|route| route.is_public) {
            return violation(format!("{} at {} ran without a key", it.id, it.path));
        }
    }
    Ok(())
}

/// Each run is at a service that some configuration gives for its path.
///
/// # Errors
/// One isn't.
pub fn runs_where_allowed(history: &History) -> Result<(), Violation> {
    for (run, it) in pairs(history) {
        // One that is sent only later allows nothing.
        let sent = history.sent.iter().filter(|sent| sent.at <= run.at);
        let mut routes = sent.filter_map(|sent| sent.plan.route(&it.host, &it.path));
        if !routes.any(|route| route.services.iter().any(|(name, _)| *name == run.service)) {
            return violation(format!("{} at {} ran at {}", it.id, it.path, run.service));
        }
    }
    Ok(())
}

/// In no window does a tenant have more runs than (rate x window + burst) x 1.1 + 20.
///
/// # Errors
/// One has.
pub fn quota_holds(history: &History) -> Result<(), Violation> {
    let Some(sent) = history.sent.first() else { return Ok(()) };
    for tenant in sent.plan.tenants.iter().filter(|tenant| tenant.rate_per_s > 0.0) {
        let most = (tenant.rate_per_s * QUOTA_WINDOW_S + tenant.burst) * 1.1 + 20.0;
        // A retry by a node is no further request of the tenant.
        let mut seen = HashSet::new();
        let of_tenant = pairs(history).filter(|(_, it)| it.tenant.as_ref() == Some(&tenant.name));
        let mut times: Vec<f64> =
            of_tenant.filter(|(run, _)| seen.insert(run.id.as_str())).map(|(run, _)| run.at).collect();
        times.sort_by(f64::total_cmp);
        for (first, start) in times.iter().enumerate() {
            let behind = times.partition_point(|at| *at < start + QUOTA_WINDOW_S);
            if (behind - first) as f64 > most {
                let count = behind - first;
                return violation(format!(
                    "{} had {count} from {start:.3} s on; most is {most}",
                    tenant.name
                ));
            }
        }
    }
    Ok(())
}

/// At the end the newest configuration that was acknowledged is read, or a newer one that was sent; as it was sent.
///
/// # Errors
/// It isn't.
pub fn acknowledged_is_read(history: &History) -> Result<(), Violation> {
    let Some(newest) = history.newest() else { return Ok(()) };
    let Some(read) = &history.read_back else {
        return violation(format!("version {:08x} was not read back", newest.plan.version));
    };
    if read.version < newest.plan.version {
        let version = newest.plan.version;
        return violation(format!("version {version:08x} was acknowledged, {:08x} was read", read.version));
    }
    if history.sent.iter().any(|sent| sent.plan.as_read() == *read) {
        return Ok(());
    }
    violation(format!("what was read as version {:08x} was never sent", read.version))
}

/// From two seconds behind its acknowledgement to the next configuration, a new route gives no 404 at any node,
/// and by then somebody was served there.
///
/// # Errors
/// It gives a 404, or nobody was.
pub fn newest_is_in_force(history: &History) -> Result<(), Violation> {
    for sent in &history.sent {
        let (Some(acknowledged), Some(route)) = (sent.acknowledged, sent.plan.newest_route()) else {
            continue;
        };
        let later = history.sent.iter().map(|other| other.at).filter(|at| *at > sent.at);
        let until = later.fold(history.end, f64::min);
        let version = sent.plan.version;
        let mut is_served = false;
        for it in history.attempts.iter().filter(|it| it.path.starts_with(&route.path_start)) {
            let Some((at, AttemptOutcome::Answer { status, .. })) = &it.ended else { continue };
            is_served |= *status / 100 == 2 && *at <= acknowledged + APPLY_S;
            if *status == 404 && it.sent > acknowledged + APPLY_S && *at < until {
                return violation(format!("version {version:08x} was not in force at {:.3} s", it.sent));
            }
        }
        if !is_served && until > acknowledged + APPLY_S {
            return violation(format!("nobody was served by version {version:08x} within {APPLY_S} s"));
        }
    }
    Ok(())
}

/// Of the runs of safe requests that would have gone on for longer than half a second behind their clients' leaving, at
/// most a quarter does so, at nodes that were left alone.
///
/// # Errors
/// More did.
pub fn work_ends_with_client(history: &History) -> Result<(), Violation> {
    let (mut all, mut kept_running) = (0, Vec::new());
    for (run, it) in pairs(history).filter(|(_, it)| it.is_safe) {
        let Some((left, AttemptOutcome::Failed(Failure::Silence))) = it.ended else { continue };
        let until = left + WORK_ENDS_S;
        let would_go_on = run.at + run.work_s > until;
        if !would_go_on || until > history.end || !history.is_fault_free(it.node, left - IN_TOUCH_S, until) {
            continue;
        }
        all += 1;
        if run.ended.is_none_or(|ended| ended > until) {
            kept_running.push(format!("{} left by its client at {left:.3} s at {}", it.id, it.node));
        }
    }
    if kept_running.len() * 4 > all {
        return violation(format!(
            "{} of {all} runs went on: {}",
            kept_running.len(),
            kept_running.join(", ")
        ));
    }
    Ok(())
}

/// A connection on which a request was passed on to a backend does not close without an answer, at nodes that were left
/// alone; SIGTERM is planned work, and no excuse.
///
/// # Errors
/// One did.
pub fn what_ran_is_answered(history: &History) -> Result<(), Violation> {
    for (run, it) in pairs(history) {
        let Some((at, AttemptOutcome::Failed(Failure::Closed | Failure::CutOff))) = it.ended else {
            continue;
        };
        if history.is_fault_free(it.node, it.sent - IN_TOUCH_S, at) {
            return violation(format!(
                "{} ran at {:.3} s, and its connection to {} closed at {at:.3} s",
                it.id, run.at, it.node
            ));
        }
    }
    Ok(())
}

fn is_started(history: &History, node: SocketAddrV4, from: f64, until: f64) -> bool {
    let mut starts = history.process_starts.iter().filter(|start| start.node == node);
    starts.any(|start| from <= start.at && start.at <= until)
}

/// Queries that one process answered: across a start, one may have reported ready and the next one its version.
fn of_one_process(history: &History) -> impl Iterator<Item = &ObservedVersion> {
    let of_one = |it: &&ObservedVersion| !is_started(history, it.node, it.began, it.ended);
    history.observed_versions.iter().filter(of_one)
}

/// The version that a node reports never goes back while one process runs (`goBackS`). Not among [`ALL`], since only plays
/// that observe versions have what it judges.
///
/// # Errors
/// It did, or no version was observed.
pub fn version_never_goes_back(history: &History) -> Result<(), Violation> {
    if history.observed_versions.is_empty() {
        return violation("no version was observed".into());
    }
    let mut last: HashMap<SocketAddrV4, &ObservedVersion> = HashMap::new();
    for now in of_one_process(history) {
        let Some(before) = last.insert(now.node, now) else { continue };
        if now.version < before.version && !is_started(history, now.node, before.ended, now.began) {
            return violation(format!(
                "{} reported version {:08x} at {:.3} s, after {:08x}",
                now.node, now.version, now.ended, before.version
            ));
        }
    }
    Ok(())
}

/// What nodes reported while ready, older than what they had reported before: over a restart, that is.
pub fn stale_reports(history: &History) -> Vec<ObservedVersion> {
    let mut newest: HashMap<SocketAddrV4, u32> = HashMap::new();
    let mut stale = Vec::new();
    for now in &history.observed_versions {
        let newest = newest.entry(now.node).or_default();
        let is_of_one = !is_started(history, now.node, now.began, now.ended);
        if is_of_one && now.is_ready && now.version < *newest {
            stale.push(*now);
        }
        *newest = now.version.max(*newest);
    }
    stale
}

/// A node that is ready has no older version than it reported before, over restarts too, later than `catchUpS` after the
/// start of its process. Not among [`ALL`], as above.
///
/// # Errors
/// One has, or no version was observed.
pub fn ready_node_catches_up(history: &History) -> Result<(), Violation> {
    if history.observed_versions.is_empty() {
        return violation("no version was observed".into());
    }
    let catches_up = |it: &ObservedVersion| is_started(history, it.node, it.began - CATCH_UP_S, it.began);
    match stale_reports(history).iter().find(|it| !catches_up(it)) {
        Some(it) => violation(format!(
            "{} reported version {:08x} at {:.3} s while ready, after a newer one, later than {CATCH_UP_S} s after its start",
            it.node, it.version, it.ended
        )),
        None => Ok(()),
    }
}

/// A node that is ready has no older version than it reported before, over restarts too. Stricter than what is promised: a
/// node that starts has `catchUpS`. Not among [`ALL`], as above.
///
/// # Errors
/// One has, or no version was observed.
pub fn ready_node_is_not_stale(history: &History) -> Result<(), Violation> {
    if history.observed_versions.is_empty() {
        return violation("no version was observed".into());
    }
    match stale_reports(history).first() {
        Some(it) => violation(format!(
            "{} reported version {:08x} at {:.3} s while ready, after a newer one",
            it.node, it.version, it.ended
        )),
        None => Ok(()),
    }
}
