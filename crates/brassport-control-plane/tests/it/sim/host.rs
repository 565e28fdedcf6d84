//! One simulated machine: its process, its disk, and its network connections.

use super::network::Link;
use super::script::{Millis, Setup};
use super::store::Store;
use brassport_control_plane::ControlPlane;
use std::collections::{BTreeMap, BTreeSet};

pub struct Host {
    pub control: Option<ControlPlane>,
    /// How often its process was started.
    pub starts: u64,
    pub started_at: Millis,
    pub frozen_until: Millis,
    pub is_core: bool,
    /// Removed permanently.
    pub retired: bool,
    /// When its process last ended.
    pub ended: Millis,
    pub zone: String,
    pub store: Store,
    /// The caller's attempt for each pending call, by the number of the call.
    pub calls: BTreeMap<u64, u64>,
    pub last_call: u64,
    pub seeds: Vec<usize>,
    /// Machines whose messages do not reach this one.
    pub blocked_senders: BTreeSet<usize>,
    /// Until this time, messages sent by the machine are delayed by the second value.
    pub send_delay: (Millis, Millis),
    /// The direction of the machine's link that carries the messages it sends.
    pub uplink: Link,
    /// The direction that carries the messages it receives.
    pub downlink: Link,
}

impl Host {
    /// Creates a machine whose process has not started.
    pub fn new(number: usize, setup: &Setup) -> Host {
        Host {
            control: None,
            starts: 0,
            started_at: 0,
            frozen_until: 0,
            is_core: number < setup.disks,
            retired: false,
            ended: 0,
            zone: setup.zones[number % setup.zones.len()].clone(),
            store: Store::empty(),
            calls: BTreeMap::new(),
            last_call: 0,
            seeds: setup.seeds.clone(),
            blocked_senders: BTreeSet::new(),
            send_delay: (0, 0),
            uplink: Link::default(),
            downlink: Link::default(),
        }
    }
}
