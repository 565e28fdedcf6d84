//! The faults of a script, as they strike and as they are over.

use super::{Held, Site};
use crate::kernel::{Cut, Host, PlannedCut, MS};
use crate::node::Node;
use crate::places::{door_address, node_address, MOVED};
use crate::scenario::{Fault, API_SERVERS};
use crate::script::Kind;
use crate::{api, dns};
use brassport::run::admin::{Call, Reply};
use brassport::{config, Control};
use serde_json::json;

impl Site {
    pub(super) fn thaw_scripted(&mut self, host: Host) {
        self.kernel.thaw(host);
        for held in self.held.remove(&host).unwrap_or_default() {
            match held {
                Held::Notice(notice) => self.notice(host, notice),
                Held::Script(script) => self.script(script),
            }
        }
    }

    pub(super) fn fault(&mut self, number: usize, begins: bool) {
        let kernel = self.kernel.clone();
        let now = kernel.now();
        let fault = self.scenario.faults[number].clone();
        let ends = |site: &Site, for_ms: u64| site.plan(now + for_ms * MS, Kind::FaultEnds, 0, number as u64);
        if begins {
            self.trace.note(now, &format!("fault {}", json!(fault)));
        }
        match fault {
            Fault::FreezeNode { node, for_ms, .. } => {
                let host = self.nodes[self.node(node)].host;
                if begins {
                    kernel.freeze(host);
                    ends(self, for_ms);
                } else {
                    self.thaw_scripted(host);
                }
            }
            Fault::FreezeDoor { door, for_ms, .. } => {
                let host = self.doors[door].host;
                if begins && self.doors[door].process.is_some() && !kernel.is_frozen(host) {
                    kernel.freeze(host);
                    self.oracle.judge.door_frozen(host.door(), now, true);
                    ends(self, for_ms);
                } else if !begins {
                    self.oracle.judge.door_frozen(host.door(), now, false);
                    kernel.thaw(host);
                }
            }
            Fault::KillDoor { door, back_ms, .. } => {
                self.kill_door(door);
                self.plan(now + back_ms * MS, Kind::DoorStarts, 0, door as u64);
            }
            Fault::TerminateDoor { door, back_ms, .. } => {
                if let Some(process) = &self.doors[door].process {
                    process.tell(Control::Terminate);
                    self.doors[door].terminated = true;
                }
                self.plan(now + back_ms * MS, Kind::DoorStarts, 0, door as u64);
            }
            Fault::ReloadDoor { door, .. } => {
                self.doors[door].moved = 1 - self.doors[door].moved;
                let text = self.door_config(door);
                if let Some(process) = &self.doors[door].process {
                    let config = config::parse(&text, config::Precedence::File, |_| None);
                    process.tell(Control::Reload(Box::new(config)));
                    self.oracle.judge.lists.door_moved(self.doors[door].host.door());
                }
            }
            Fault::KillNode { node, point, .. } => {
                let node = self.node(node);
                if !self.nodes[node].dead {
                    self.nodes[node].dies = Some(point);
                }
            }
            Fault::VanishNode { node, .. } => {
                let node = self.node(node);
                kernel.vanish(self.nodes[node].host, true);
                let at = now + self.random.between(1000, 3000) * MS;
                self.plan(at, Kind::NodeGone, 0, node as u64);
            }
            Fault::CutConnection { door, node, answer, after, silent, standing, .. } => {
                let node = self.node(node);
                let (host, how) = (self.doors[door].host, if silent { Cut::Silent } else { Cut::Reset });
                if standing {
                    self.nodes[node].cut(&kernel, host, answer, after, how);
                } else {
                    let to = self.nodes[node].address;
                    kernel.cut_next(PlannedCut {
                        to,
                        from: Some(host),
                        side: usize::from(answer),
                        after,
                        how,
                    });
                }
            }
            Fault::CutClient { door, answer, after, silent, .. } => {
                let how = if silent { Cut::Silent } else { Cut::Reset };
                let to = door_address(door);
                kernel.cut_next(PlannedCut { to, from: None, side: usize::from(answer), after, how });
            }
            Fault::Partition { door, node, for_ms, .. } => {
                let (door, node) = (self.doors[door].host, self.nodes[self.node(node)].host);
                kernel.partition(door, node, begins);
                if begins {
                    ends(self, for_ms);
                }
            }
            Fault::DiscoverySilent { door, for_ms, .. } => {
                self.agents[door].silent = begins;
                if begins {
                    ends(self, for_ms);
                }
            }
            Fault::DiscoveryLate { door, for_ms, by_ms, .. } => {
                self.agents[door].late = if begins { by_ms * MS } else { 0 };
                if begins {
                    ends(self, for_ms);
                }
            }
            Fault::DiscoveryStale { door, for_ms, revisions, .. } => {
                self.agents[door].stale = if begins { revisions } else { 0 };
                if begins {
                    self.agents[door].reset(&kernel);
                    ends(self, for_ms);
                } else {
                    self.agents[door].tell(&kernel, &self.registry);
                }
            }
            Fault::DiscoveryReordered { door, .. } => self.agents[door].reorder = true,
            Fault::Drain { node, gone_ms, turns_away, .. } => {
                let node = self.node(node);
                if !self.nodes[node].dead {
                    self.nodes[node].turns_away = Some(turns_away);
                    let entry = self.entry(node, "draining");
                    self.change(entry);
                    self.plan(now + gone_ms * MS, Kind::NodeGone, 0, node as u64);
                }
            }
            Fault::Ban { door, node, for_ms, .. } => {
                let uid = self.nodes[self.node(node)].uid.clone();
                let call = if begins { Call::Disable(uid.clone()) } else { Call::Enable(uid.clone()) };
                let (said, host) = (self.said.clone(), self.doors[door].host);
                let say = Box::new(move |reply| {
                    if reply == Reply::Done {
                        said.borrow_mut().push((host, uid, begins));
                    }
                });
                if let Some(process) = &self.doors[door].process {
                    process.tell(Control::Admin(call, say));
                }
                if begins {
                    ends(self, for_ms);
                }
            }
            Fault::Replace { node, same_address, .. } => {
                let old = self.node(node);
                self.node_gone(old);
                let number = self.nodes.len();
                let host = Host(self.nodes[old].host.0 + 32);
                if host.0 >= 196 {
                    return;
                }
                let address = if same_address { self.nodes[old].address } else { node_address(number + 32) };
                let uid = format!("s-{:08x}", 0x100 + number);
                self.nodes.push(Node::start(&kernel, host, address, uid.clone(), Some(now)));
                self.oracle.judge.node_started(host.node(), &uid, now);
                let entry = self.entry(number, "ready");
                self.change(entry);
            }
            Fault::Surge { .. } => {}
            Fault::NomadTrouble { server, for_ms, trouble, .. } => {
                let Some(api) = &self.api else { return };
                let servers = server.map_or(0..API_SERVERS, |server| server..server + 1);
                servers.for_each(|server| api.trouble(server, begins.then_some(trouble)));
                if begins {
                    ends(self, for_ms);
                }
            }
            Fault::NomadPartition { door, server, for_ms, .. } => {
                kernel.partition(self.doors[door].host, api::host(server), begins);
                if begins {
                    ends(self, for_ms);
                }
            }
            Fault::DnsTrouble { server, for_ms, trouble, .. } => {
                let Some(dns) = &self.dns else { return };
                dns.trouble(server, begins.then_some(trouble));
                if begins {
                    ends(self, for_ms);
                }
            }
            Fault::DnsPartition { door, server, for_ms, .. } => {
                kernel.partition(self.doors[door].host, dns::host(server), begins);
                if begins {
                    ends(self, for_ms);
                }
            }
            Fault::Garble { node, kind, .. } => {
                let node = self.node(node);
                self.nodes[node].spoilt.push_back(kind);
            }
            Fault::Move { node, .. } => {
                let place = self.node(node);
                // One that drains or has gone is not listed anew.
                if !self.nodes[place].dead && self.nodes[place].turns_away.is_none() {
                    let to = node_address(MOVED + place);
                    kernel.listen_scripted(self.nodes[place].host, to);
                    self.nodes[place].address = to;
                    let entry = self.entry(place, "ready");
                    self.change(entry);
                }
            }
            Fault::CloseIdle { node, .. } => {
                let node = self.node(node);
                self.nodes[node].close_idle(&kernel);
            }
            Fault::WallClock { door, by_ms, .. } => {
                let wall = &self.doors[door].wall;
                wall.set(wall.get() + by_ms * MS as i64);
            }
            Fault::RudeClient { door, bytes, .. } => self.clients.be_rude(&kernel, door, bytes),
            Fault::Crowd { door, connections, .. } => {
                for _ in 0..connections {
                    self.clients.be_rude(&kernel, door, 0);
                }
            }
        }
    }
}
