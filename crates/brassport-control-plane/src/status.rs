//! What a machine knows of the system, for the people who run it: who votes, who leads, which version is in force
//! at which door, who lags. Nothing here names a key.

use crate::backends::Stage;
use crate::control::Control;
use serde_json::{json, Value};

impl Control {
    /// As JSON. Places and ages are as they were heard last; a door that was not heard for 12 s is not named.
    pub fn status(&self) -> Value {
        let state = self.replica.state();
        let (me, now) = (&self.start.member, self.now);
        let count = |stage| self.table.all(now).filter(|(backend, _)| backend.stage == stage).count();
        let doors: Vec<Value> = self
            .heard
            .iter()
            .map(|(ip, at)| {
                let index = self.indexes.get(ip);
                json!({
                    "ip": ip,
                    "zone": self.views.member(*ip).map(|member| member.zone.as_str()),
                    "index": index,
                    "behind": index.map(|index| state.index.saturating_sub(*index)),
                    "heardMsAgo": now.saturating_sub(*at),
                })
            })
            .collect();
        let voters: Vec<Value> = state
            .voters
            .iter()
            .map(|voter| json!({ "ip": voter.ip, "disk": format!("{:016x}", voter.disk) }))
            .collect();
        json!({
            "ip": me.ip,
            "zone": me.zone,
            "version": state.document.version().to_string(),
            "index": state.index,
            "votes": self.replica.votes(),
            "leader": self.leader().map(|(term, ip)| json!({ "ip": ip, "term": term.0 })),
            "voters": voters,
            "parts": state.slots,
            "snapshot": self.snapshots.progress(),
            "doors": doors,
            "backends": {
                "ready": count(Stage::Ready),
                "silent": count(Stage::Silent),
                "emptying": count(Stage::Emptying),
            },
        })
    }
}
