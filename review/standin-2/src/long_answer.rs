//! Answers that come in pieces, while a tenth of the backends goes dark for good in the middle of some of them.

use crate::client::{self, configuration, load_doors, Request};
use crate::site::{Record, Site};
use crate::Verdict;
use std::time::Duration;

const GIVE_UP_S: f64 = 1.5;
const BACKENDS: usize = 60;
const DARK: [usize; 6] = [3, 13, 23, 33, 43, 53];

pub fn play(record: Record, trouble: bool) -> Verdict {
    let mut site = Site::new(record, 3, 3, 1)?;
    site.start_doors()?;
    for _ in 0..BACKENDS {
        // An answer takes 0.8 s: eight chunks.
        site.start_backend("yield-archive", &[("work-ms", "50".to_owned()), ("paced", "1".to_owned())])?;
    }
    site.configure(&configuration("yield-archive", "/levo940/", "safe", 1.3, GIVE_UP_S))?;
    let request = Request {
        method: "GET",
        path: "/levo940/7c",
        key: client::KEY,
        body_bytes: 0,
        answer_bytes: 8_000,
        waits: Duration::from_secs(3),
    };
    // More and more at once, as doors admit no more than they have seen to go well.
    for (count, gap_ms) in [(60, 50), (120, 25), (200, 14), (300, 8)] {
        let warm_up = client::load(&site, count, &request, Duration::from_millis(gap_ms));
        client::write_down(&site.record, &warm_up);
        client::mostly_served(&warm_up)?;
    }
    let gap = Duration::from_millis(5);
    let doors = site.fronts();
    let seen = std::thread::scope(|scope| {
        let clients = scope.spawn(|| load_doors(&doors, 600, &request, gap));
        std::thread::sleep(Duration::from_millis(1_800));
        if trouble {
            site.darken(&DARK)?;
        }
        clients.join().map_err(|_| "the clients' thread ended".to_owned())
    })?;
    client::write_down(&site.record, &seen);
    client::write_runs(&site);
    Ok(client::is_ended_at_give_up(&site.record, &seen, GIVE_UP_S))
}
