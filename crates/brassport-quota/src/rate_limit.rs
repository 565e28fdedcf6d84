//! A tenant's limit, and how it is divided between the nodes and the coordinator.

/// Part of the rate that the nodes hold for good, in equal quota shares. With [`LENT_RATE`] it comes to 1.04: what is
/// granted never lies quite where it is used, and the rule tolerates a tenth above the limit.
const BASE_RATE: f64 = 0.5;
/// Part of the rate at which the coordinator's bucket is refilled.
const LENT_RATE: f64 = 0.54;
/// Parts of the depth: in the nodes' base buckets, in the coordinator's bucket, and prefetched at the nodes. Together they stay
/// below 1, as all of them may be spent at one moment.
const BASE_DEPTH: f64 = 0.33;
const LENT_DEPTH: f64 = 0.3;
const PREFETCHED_DEPTH: f64 = 0.3;
/// Requests that the rule tolerates at one moment beside the burst.
const BURST_TOLERANCE: f64 = 16.0;

/// A tenant's limit over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests a second; 0 or less means that there is no limit.
    pub rate_per_s: f64,
    /// Requests that may come at one moment, on top of the rate.
    pub burst: f64,
}

impl RateLimit {
    /// Whether requests are limited at all.
    pub(crate) fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// Requests that may come at one moment, the rule's own tolerance included.
    fn depth(&self) -> f64 {
        self.burst + BURST_TOLERANCE
    }

    /// Requests a second at which the coordinator's bucket is refilled.
    pub(crate) fn lent_rate_per_s(&self) -> f64 {
        LENT_RATE * self.rate_per_s
    }

    /// Requests that the coordinator's bucket holds at most.
    pub(crate) fn lent_depth(&self) -> f64 {
        LENT_DEPTH * self.depth()
    }

    /// Requests that the coordinator's bucket would yield in so many seconds, as a debt: below zero.
    pub(crate) fn lent_debt(&self, seconds: f64) -> f64 {
        // This order of the factors fixes the last bit of the result, which the golden exchanges pin.
        -seconds * LENT_RATE * self.rate_per_s
    }

    /// What one node has of the limit, where it is divided into so many shares. No shares count as one.
    pub(crate) fn share(&self, quota_shares: u32) -> NodeShare {
        let shares = f64::from(quota_shares.max(1));
        NodeShare {
            base_rate_per_s: BASE_RATE * self.rate_per_s / shares,
            base_depth: (BASE_DEPTH * self.depth() / shares).max(1.0),
            prefetch_limit: (PREFETCHED_DEPTH * self.depth() / shares).max(1.0),
            rate_per_s: self.rate_per_s,
            shares,
        }
    }
}

/// One node's part of a limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NodeShare {
    /// Requests a second at which the node's base bucket is refilled.
    pub(crate) base_rate_per_s: f64,
    /// Requests that the base bucket holds at most, and never less than one.
    pub(crate) base_depth: f64,
    /// Requests that the node may have prefetched, and never less than one.
    pub(crate) prefetch_limit: f64,
    rate_per_s: f64,
    shares: f64,
}

impl NodeShare {
    /// The time that the node's equal part of the rate takes for so many requests.
    pub(crate) fn time_for_ms(&self, requests: f64) -> f64 {
        requests * 1000.0 * self.shares / self.rate_per_s
    }
}
