//! Identifiers of disks, processes and tenants.

use crate::hash::fnv1a_32;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The identity of a voter's disk: a random number, assigned when the disk is initialized. A disk that comes back empty gets
/// another one and is another voter, as what it promised is lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DiskId(pub u64);

impl DiskId {
    /// Stands for a machine without a disk, which never votes.
    pub const NONE: DiskId = DiskId(0);

    /// Whether there is a disk.
    pub fn is_some(self) -> bool {
        self != DiskId::NONE
    }

    /// Whether there is no disk.
    pub fn is_none(self) -> bool {
        self == DiskId::NONE
    }
}

impl fmt::Display for DiskId {
    /// Sixteen hexadecimal digits.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One run of a process, from its start to its end: a random number drawn at the start, so that messages of an
/// earlier run on the same machine are distinguished from those of this one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A tenant, by a hash of its name that is the same on every machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantId(pub u32);

impl TenantId {
    /// Stands for requests without a tenant.
    pub const NONE: TenantId = TenantId(0);

    /// The identifier of a tenant's name.
    pub fn of_name(name: &str) -> TenantId {
        TenantId(fnv1a_32(name))
    }
}
