//! A tenant's rate limit, and its division between the nodes and the coordinator.

/// Fraction of the rate that refills the base buckets of all nodes together. The sum with [`GRANTED_RATE`] is
/// 1.04, above 1, as nodes leave a part of their granted requests unspent. A tolerance of a tenth above the
/// limit is allowed.
const BASE_RATE: f64 = 0.5;
/// Fraction of the rate that refills the coordinator's bucket.
const GRANTED_RATE: f64 = 0.54;
/// Fraction of the depth in the base buckets of all nodes together. The sum with [`GRANTED_DEPTH`] and
/// [`PREFETCHED_DEPTH`] must be less than 1, as all three may be spent at the same time.
const BASE_DEPTH: f64 = 0.33;
/// Fraction of the depth in the coordinator's bucket.
const GRANTED_DEPTH: f64 = 0.3;
/// Fraction of the depth that all nodes together may have as granted, unspent requests.
const PREFETCHED_DEPTH: f64 = 0.3;
/// Requests that are tolerated at one time in addition to the burst.
const BURST_TOLERANCE: f64 = 16.0;

/// A tenant's rate limit over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Requests per second; 0 or less for no limit.
    pub rate_per_s: f64,
    /// Requests that are allowed at one time in addition to the rate.
    pub burst: f64,
}

impl RateLimit {
    /// Returns whether there is a limit.
    pub(crate) fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// Returns the number of requests that are allowed at one time, including the tolerance.
    fn depth(&self) -> f64 {
        self.burst + BURST_TOLERANCE
    }

    /// Returns the refill rate of the coordinator's bucket, in requests per second.
    pub(crate) fn granted_rate_per_s(&self) -> f64 {
        GRANTED_RATE * self.rate_per_s
    }

    /// Returns the depth of the coordinator's bucket, in requests.
    pub(crate) fn granted_depth(&self) -> f64 {
        GRANTED_DEPTH * self.depth()
    }

    /// Returns the refill of the coordinator's bucket in this time as a debt, a negative number of requests.
    pub(crate) fn granted_debt(&self, seconds: f64) -> f64 {
        // The order of the factors determines the last bit of the result, which the golden fixtures depend
        // on.
        -seconds * GRANTED_RATE * self.rate_per_s
    }

    /// Returns one node's share of the limit when it is divided into `quota_shares` equal shares; 0 is
    /// treated as 1.
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

/// One node's share of a rate limit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NodeShare {
    /// Refill rate of the node's base bucket, in requests per second.
    pub(crate) base_rate_per_s: f64,
    /// Depth of the base bucket, in requests; at least 1.
    pub(crate) base_depth: f64,
    /// Maximum number of granted, unspent requests of the node; at least 1.
    pub(crate) prefetch_limit: f64,
    /// Rate of the undivided limit, in requests per second.
    rate_per_s: f64,
    /// Number of equal shares; at least 1.
    shares: f64,
}

impl NodeShare {
    /// Returns the time in which the node's equal share of the rate allows this number of requests.
    pub(crate) fn time_for_ms(&self, requests: f64) -> f64 {
        requests * 1000.0 * self.shares / self.rate_per_s
    }
}
