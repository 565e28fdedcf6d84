//! Identifiers of disks, processes and tenants.

use crate::hash::fnv1a_32;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The identity of a voter's disk: a random number that is assigned when the disk is initialized. A disk that
/// lost its data gets a new identity and is a different voter, as its promises are lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DiskId(pub u64);

impl DiskId {
    /// The identity of a machine without a disk, which never votes.
    pub const NONE: DiskId = DiskId(0);

    /// Returns whether this is the identity of a disk.
    pub fn is_some(self) -> bool {
        self != DiskId::NONE
    }

    /// Returns whether this is [`DiskId::NONE`].
    pub fn is_none(self) -> bool {
        self == DiskId::NONE
    }
}

impl fmt::Display for DiskId {
    /// Writes sixteen hexadecimal digits.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The identity of one run of a process: a random number that is drawn at its start. It distinguishes
/// messages of this run from those of earlier runs on the same machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// The identifier of a tenant: a hash of its name that is equal on all machines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantId(pub u32);

impl TenantId {
    /// The identifier for requests without a tenant.
    pub const NONE: TenantId = TenantId(0);

    /// Returns the identifier of the tenant with this name.
    pub fn of_name(name: &str) -> TenantId {
        TenantId(fnv1a_32(name))
    }
}
