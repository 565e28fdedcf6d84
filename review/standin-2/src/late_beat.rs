//! One backend of eight signs off and serves on. All doors are killed right after its acknowledgement, and come back. A
//! beat from before its sign-off comes late.

use crate::client::{self, configuration, load, Request};
use crate::site::{unix, Record, Run, Site};
use crate::Verdict;
use std::time::Duration;

const BACKENDS: usize = 8;
/// The one that leaves.
const LEAVER: usize = 3;
const DRAIN_S: f64 = 2.0;
/// Twice `inTouchS`, as most of the core was killed.
const IN_TOUCH_AGAIN_S: f64 = 6.0;
/// How long after the acknowledgement the late beat comes.
const LATE_S: f64 = 4.0;
/// How long the leaver serves on after its acknowledgement.
const SERVES_ON_S: f64 = 10.0;

pub fn play(record: Record, trouble: bool) -> Verdict {
    let mut site = Site::new(record, 5, 3, 2)?;
    site.start_doors()?;
    for _ in 0..BACKENDS {
        site.start_backend("tankgate", &[("work-ms", "100".to_owned())])?;
    }
    site.configure(&configuration("tankgate", "/xapu221/", "unsafe", 0.5, 2.0))?;
    let request = Request {
        method: "POST",
        path: "/xapu221/1a",
        key: client::KEY,
        body_bytes: 1_200,
        answer_bytes: 200,
        waits: Duration::from_secs(2),
    };
    let warm_up = load(&site, 60, &request, Duration::from_millis(15));
    client::write_down(&site.record, &warm_up);
    client::all_served(&warm_up)?;
    site.backends[LEAVER].process.command(&format!("leave {LATE_S}"));
    let signed_off = site.until_noted(LEAVER, "@signed-off", Duration::from_secs(10))?;
    let leaver = site.backends[LEAVER].id.clone();
    site.record.at(signed_off, &format!("the sign-off of backend {leaver} is acknowledged"));
    let mut back = signed_off;
    if trouble {
        site.doors.iter_mut().filter_map(|door| door.process.take()).for_each(|mut process| process.kill());
        site.record.say("all doors are killed");
        std::thread::sleep(Duration::from_millis(500));
        site.start_doors()?;
        back = unix();
    }
    // Requests all the while, also as the leaver ends.
    let seen = std::thread::scope(|scope| {
        let (doors, gap) = (site.fronts(), Duration::from_millis(12));
        let count = (signed_off + SERVES_ON_S + 1.0 - unix()) / gap.as_secs_f64();
        let request = &request;
        let clients = scope.spawn(move || client::load_doors(&doors, count as usize, request, gap));
        std::thread::sleep(Duration::from_secs_f64((signed_off + SERVES_ON_S - unix()).max(0.0)));
        site.backends[LEAVER].process.command("end");
        site.record.line(&format!("backend {leaver} is to end"));
        clients.join().map_err(|_| "the clients' thread ended".to_owned())
    })?;
    client::write_down(&site.record, &seen);
    client::write_runs(&site);
    let runs = site.runs();
    let beat = runs.iter().find(|run| run.request.starts_with("@late-beat"));
    let beat_text = beat.map_or("did not come".to_owned(), |run| format!("{} at {:.2} s", run.request, run.at - signed_off));
    // Only what machines in touch sent on: all doors are, from here on.
    let from = (signed_off + DRAIN_S).max(if trouble { back + IN_TOUCH_AGAIN_S } else { signed_off });
    let is_late = |run: &&Run| run.backend == leaver && run.at > from && !run.request.starts_with('@');
    let late: Vec<&Run> = runs.iter().filter(is_late).collect();
    let last = late.last().map_or(0.0, |run| run.at - signed_off);
    let served = |run: &&&Run| seen.iter().any(|seen| seen.id == run.request && matches!(seen.answer, Some((_, 200))));
    let lost = late.len() - late.iter().filter(served).count();
    site.record.say(&format!(
        "{} requests after the sign-off; late beat: {beat_text}; {} requests reached backend {leaver} over {DRAIN_S} s after its \
         acknowledgement, counted from {:.2} s after it, the last at {last:.2} s; {lost} of them were not answered 200",
        seen.len(),
        late.len(),
        from - signed_off
    ));
    Ok(late.is_empty())
}
