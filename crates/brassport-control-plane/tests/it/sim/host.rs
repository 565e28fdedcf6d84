//! One machine: its process, its disk, and what it hears of the others.

use super::script::{Millis, Setup};
use super::store::Store;
use brassport_control_plane::ControlPlane;
use std::collections::{BTreeMap, BTreeSet};

pub struct Host {
    pub control: Option<ControlPlane>,
    /// How often it was started.
    pub starts: u64,
    pub started_at: Millis,
    pub frozen_until: Millis,
    pub is_core: bool,
    /// Gone for good.
    pub retired: bool,
    /// When its process ended last.
    pub ended: Millis,
    pub zone: String,
    pub store: Store,
    /// The try behind each open call.
    pub calls: BTreeMap<u64, u64>,
    pub last_call: u64,
    pub seeds: Vec<usize>,
    /// Whom it does not hear.
    pub deaf_to: BTreeSet<usize>,
    /// What it sends until then comes so much later.
    pub lag: (Millis, Millis),
    pub sends_free: Millis,
}

impl Host {
    /// A machine that has not started.
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
            deaf_to: BTreeSet::new(),
            lag: (0, 0),
            sends_free: 0,
        }
    }
}
