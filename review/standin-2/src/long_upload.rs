//! Requests with long bodies, while a tenth of the backends is dark for good.

use crate::client::{self, configuration, load, Request};
use crate::site::{Record, Site};
use crate::Verdict;
use std::time::Duration;

const GIVE_UP_S: f64 = 1.0;
const BACKENDS: usize = 60;
const DARK: [usize; 6] = [3, 13, 23, 33, 43, 53];

/// More than a kernel takes on the way from a door to a backend that doesn't read, and little more.
fn long_body() -> usize {
    let text = std::fs::read_to_string("/proc/sys/net/ipv4/tcp_wmem").unwrap_or_default();
    let largest_buffer: usize = text.split_whitespace().last().and_then(|text| text.parse().ok()).unwrap_or(0);
    (largest_buffer + 1_800_000).max(6_000_000)
}

pub fn play(record: Record, trouble: bool) -> Verdict {
    let mut site = Site::new(record, 6, 3, 1)?;
    site.start_doors()?;
    for _ in 0..BACKENDS {
        site.start_backend("tankgate", &[("work-ms", "160".to_owned())])?;
    }
    site.configure(&configuration("tankgate", "/xapu221/", "unsafe", 0.5, GIVE_UP_S))?;
    let long = Request {
        method: "POST",
        path: "/xapu221/1a",
        key: client::KEY,
        body_bytes: long_body(),
        answer_bytes: 64,
        waits: Duration::from_secs(2),
    };
    let short = Request { body_bytes: 1_200, ..long.clone() };
    // The usual traffic, by which doors come to their connections, and some long bodies.
    for (request, count, gap_ms) in [(&short, 80, 25), (&short, 700, 5), (&long, 20, 40), (&short, 400, 5)] {
        let warm_up = load(&site, count, request, Duration::from_millis(gap_ms));
        client::write_down(&site.record, &warm_up);
        client::mostly_served(&warm_up)?;
    }
    if trouble {
        site.darken(&DARK)?;
    }
    let seen = load(&site, 240, &long, Duration::from_millis(15));
    client::write_down(&site.record, &seen);
    client::write_runs(&site);
    Ok(client::is_ended_at_give_up(&site.record, &seen, GIVE_UP_S))
}
