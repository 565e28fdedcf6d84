//! Long answers, while one backend of eight falls silent in the middle of some of them.

use crate::client::{self, configuration, load, Request};
use crate::site::{Record, Site};
use crate::Verdict;
use std::time::Duration;

const GIVE_UP_S: f64 = 2.0;
const BACKENDS: usize = 8;

pub fn play(record: Record, trouble: bool) -> Verdict {
    let mut site = Site::new(record, 3, 3, 1)?;
    site.start_doors()?;
    for _ in 0..BACKENDS {
        // An answer takes a second: ten parts of 40 kB.
        let options = [("work-ms", "50".to_owned()), ("pace", "40000".to_owned()), ("capacity", "40".to_owned())];
        site.start_backend("yield-archive", &options)?;
    }
    site.configure(&configuration("yield-archive", "/levo940/", "safe", 1.8, GIVE_UP_S))?;
    let request = Request {
        method: "GET",
        path: "/levo940/7c",
        key: client::KEY,
        body_bytes: 0,
        answer_bytes: 400_000,
        waits: Duration::from_secs(8),
    };
    // More and more at once, as doors admit no more than they have seen to go well.
    for (count, gap_ms) in [(60, 50), (120, 25), (200, 14)] {
        let warm_up = load(&site, count, &request, Duration::from_millis(gap_ms));
        client::write_down(&site.record, &warm_up);
        client::mostly_served(&warm_up)?;
    }
    let gap = Duration::from_millis(7);
    let seen = std::thread::scope(|scope| {
        let clients = scope.spawn(|| load(&site, 500, &request, gap));
        std::thread::sleep(Duration::from_millis(2_500));
        if trouble {
            site.backends[3].process.signal("STOP");
            site.record.say(&format!("backend {} is silent from here on", site.backends[3].id));
        }
        clients.join().map_err(|_| "the clients' thread ended".to_owned())
    })?;
    client::write_down(&site.record, &seen);
    client::write_runs(&site);
    Ok(client::is_ended_at_give_up(&site.record, &seen, GIVE_UP_S))
}
