//! Requests with long bodies, while one backend of eight is silent for good.

use crate::client::{self, configuration, load, Request};
use crate::site::{Record, Site};
use crate::Verdict;
use std::time::Duration;

const GIVE_UP_S: f64 = 2.0;
const BACKENDS: usize = 8;

/// More than a kernel takes on the way from a door to a backend that doesn't read, and little more.
fn long_body() -> usize {
    let text = std::fs::read_to_string("/proc/sys/net/ipv4/tcp_wmem").unwrap_or_default();
    let largest_buffer: usize = text.split_whitespace().last().and_then(|text| text.parse().ok()).unwrap_or(0);
    (largest_buffer + 1_800_000).max(6_000_000)
}

pub fn play(record: Record, trouble: bool) -> Verdict {
    let mut site = Site::new(record, 3, 3, 1)?;
    site.start_doors()?;
    for _ in 0..BACKENDS {
        site.start_backend("tankgate", &[("work-ms", "100".to_owned())])?;
    }
    site.configure(&configuration("tankgate", "/xapu221/", "unsafe", 0.5, GIVE_UP_S))?;
    let request = Request {
        method: "POST",
        path: "/xapu221/1a",
        key: client::KEY,
        body_bytes: long_body(),
        answer_bytes: 64,
        waits: Duration::from_secs(8),
    };
    let warm_up = load(&site, 24, &request, Duration::from_millis(30));
    client::write_down(&site.record, &warm_up);
    client::all_served(&warm_up)?;
    if trouble {
        site.backends[3].process.signal("STOP");
        site.record.say(&format!("backend {} is silent from here on", site.backends[3].id));
    }
    let seen = load(&site, 110, &request, Duration::from_millis(30));
    client::write_down(&site.record, &seen);
    client::write_runs(&site);
    Ok(client::is_ended_at_give_up(&site.record, &seen, GIVE_UP_S))
}
