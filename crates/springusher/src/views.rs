//! What a gateway shows of itself. It decides nothing.

use crate::control::Gateway;
use crate::interface::*;

impl Gateway {
    /// Most attempts that it would have out now, and the share of what the quotas admit that it has room for.
    pub fn room(&self) -> (f64, f64) {
        (self.room.limit, self.room.part)
    }

    /// Whether a server that takes requests is left out at this moment, for its failures.
    pub fn avoids(&self, server: ServerId, now: Millis) -> bool {
        self.fleet.servers.get(&server).is_some_and(|server| server.is_ejected(now))
    }
}
