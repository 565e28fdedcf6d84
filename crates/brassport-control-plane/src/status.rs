//! What a machine knows of the system, for the people who run it: who votes, who leads, which version is in force
//! at which door, who lags. Nothing here names a key.

use crate::backends::BackendState;
use crate::control::ControlPlane;
use serde_json::{json, Value};

impl ControlPlane {
    /// As JSON. Places and ages are as they were heard last; a door that was not heard for 12 s is not named.
    pub fn status(&self) -> Value {
        let state = self.replica.state();
        let (me, now) = (&self.options.node, self.now);
        let count = |stage| self.table.all(now).filter(|(backend, _)| backend.state == stage).count();
        let doors: Vec<Value> = self
            .heard
            .iter()
            .map(|(ip, at)| {
                let index = self.indexes.get(ip);
                json!({
                    "ip": ip,
                    "zone": self.views.peer(*ip).map(|member| member.zone.as_str()),
                    "index": index,
                    "behind": index.map(|index| state.index.saturating_sub(*index)),
                    "heardMsAgo": now.saturating_sub(*at),
                })
            })
            .collect();
        let voters: Vec<Value> = state
            .voters
            .iter()
            .map(|voter| json!({ "ip": voter.ip, "disk": voter.disk.to_string() }))
            .collect();
        json!({
            "ip": me.ip,
            "zone": me.zone,
            "version": state.document.version().to_string(),
            "index": state.index,
            "votes": self.replica.is_voter(),
            "leader": self.leader().map(|(term, ip)| json!({ "ip": ip, "term": term.number })),
            "voters": voters,
            "parts": state.quota_shares,
            "snapshot": self.snapshots.progress(),
            "doors": doors,
            "backends": {
                "ready": count(BackendState::Ready),
                "silent": count(BackendState::Unresponsive),
                "emptying": count(BackendState::Draining),
            },
        })
    }
}
