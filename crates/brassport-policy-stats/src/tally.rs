//! Refusals that are not the coin's, for staff to read of once a second. It decides nothing.

use crate::Millis;

/// What staff should read of a server's failures in a row, of which so many eject it.
pub fn health(server: u32, was_out: bool, failures: u32, most: u32) -> Option<String> {
    let text = match (was_out, failures) {
        (true, 0) => "answers again",
        (false, failures) if failures == most => "ejected: some failures in a row",
        _ => return None,
    };
    Some(format!("server {server} {text}"))
}

/// What is reported together.
const SECOND: Millis = 1000.0;

/// Refusals since the last report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tally {
    /// For want of room.
    pub no_room: u32,
    /// For want of a server.
    pub no_server: u32,
    reported: Millis,
    pressed: bool,
    /// Refusals up to the last report.
    past_no_room: u64,
    past_no_server: u64,
}

impl Tally {
    /// Nothing yet.
    pub fn new(now: Millis) -> Tally {
        Tally { reported: now, ..Tally::default() }
    }

    /// Refusals for want of room since the start.
    pub fn total_no_room(&self) -> u64 {
        self.past_no_room + u64::from(self.no_room)
    }

    /// Refusals for want of a server since the start.
    pub fn total_no_server(&self) -> u64 {
        self.past_no_server + u64::from(self.no_server)
    }

    /// Once a second: what staff should read, with the room that there is by now.
    pub fn report(&mut self, now: Millis, room: f64) -> Vec<String> {
        let mut lines = Vec::new();
        if now < self.reported + SECOND {
            return lines;
        }
        let pressed = self.no_room > 0;
        if pressed != self.pressed {
            let text = if pressed { "pressed" } else { "pressed no more" };
            lines.push(format!("{text}: room for {room:.2} of what the quotas admit"));
        }
        if self.no_server > 0 {
            lines.push(format!("no server to send to: {} refused", self.no_server));
        }
        let (past_no_room, past_no_server) = (self.total_no_room(), self.total_no_server());
        *self = Tally { reported: now, pressed, past_no_room, past_no_server, ..Tally::default() };
        lines
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn staff_read_once_a_second_of_what_changed() {
        let mut tally = Tally::new(0.0);
        (tally.no_room, tally.no_server) = (3, 2);
        assert!(tally.report(999.0, 0.5).is_empty());
        let lines = tally.report(1000.0, 0.5);
        assert_eq!(
            lines,
            ["pressed: room for 0.50 of what the quotas admit", "no server to send to: 2 refused"]
        );
        assert_eq!((tally.total_no_room(), tally.total_no_server()), (3, 2), "a report forgets no total");
        tally.no_room = 1;
        assert!(tally.report(2000.0, 0.4).is_empty(), "still pressed is no news");
        assert_eq!(tally.report(3000.0, 0.6), ["pressed no more: room for 0.60 of what the quotas admit"]);
    }
}
