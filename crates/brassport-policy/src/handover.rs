//! Hand-over state: a JSON text with the state that a gateway needs to replace another one.
//!
//! The names in the JSON belong to format version 3. Fields that were renamed in the code keep their JSON
//! names by `#[serde(rename)]`, and types keep their names in error texts by `#[serde(expecting)]`.

use crate::admission::QuotaAdmission;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::interface::*;
use crate::load_balancer::LoadBalancer;
use crate::policy::{Customer, Gateway};
use brassport_policy_stats::{ClassStatistics, UntrustedKeyMap};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::{self, Write};

/// Format version of the state. A state of another version is rejected. Must be incremented with each change
/// of the format.
const FORMAT_VERSION: u32 = 3;

#[derive(Serialize, Deserialize)]
#[serde(expecting = "struct Heritage with 11 elements")]
struct HandoverState<'a> {
    #[serde(rename = "form")]
    version: u32,
    /// Number of classes, and number of plans.
    counts: (usize, usize),
    meter_period: Millis,
    #[serde(rename = "born")]
    started_at: Millis,
    now: Millis,
    retry_budget: f64,
    customers: MaybeOwned<'a, UntrustedKeyMap<CustomerId, Box<Customer>>>,
    admission: MaybeOwned<'a, QuotaAdmission>,
    #[serde(rename = "kinds")]
    classes: MaybeOwned<'a, ClassStatistics>,
    #[serde(rename = "fleet")]
    balancer: MaybeOwned<'a, LoadBalancer>,
    #[serde(rename = "room")]
    concurrency: MaybeOwned<'a, ConcurrencyLimit>,
}

/// A value that is borrowed for serialization and owned after deserialization.
enum MaybeOwned<'a, T> {
    Borrowed(&'a T),
    Owned(T),
}

impl<T: Serialize> Serialize for MaybeOwned<'_, T> {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        match self {
            MaybeOwned::Borrowed(value) => value.serialize(to),
            MaybeOwned::Owned(value) => value.serialize(to),
        }
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for MaybeOwned<'_, T> {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        T::deserialize(from).map(MaybeOwned::Owned)
    }
}

impl<T> MaybeOwned<'_, T> {
    fn into_owned(self) -> Result<T, HandoverError> {
        match self {
            MaybeOwned::Owned(value) => Ok(value),
            MaybeOwned::Borrowed(_) => Err(HandoverError::NotParsed),
        }
    }
}

/// Why a hand-over state was not applied.
#[derive(Debug)]
enum HandoverError {
    /// The text is not valid JSON, or does not have the expected structure.
    Syntax(serde_json::Error),
    /// The state has this version instead of [`FORMAT_VERSION`].
    Version(u32),
    /// The state belongs to other settings, or the gateway has handled requests already.
    Mismatch,
    /// A part of the state was not deserialized; cannot occur after successful parsing.
    NotParsed,
}

impl fmt::Display for HandoverError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HandoverError::Syntax(error) => error.fmt(f),
            HandoverError::Version(version) => {
                write!(f, "it has form {version}, this program's is {FORMAT_VERSION}")
            }
            HandoverError::Mismatch => f.write_str("it is of other settings, or comes too late"),
            HandoverError::NotParsed => f.write_str("a part of it was not parsed"),
        }
    }
}

impl std::error::Error for HandoverError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            HandoverError::Syntax(error) => Some(error),
            _ => None,
        }
    }
}

/// A buffer that fails when its contents would exceed a limit; protects the memory of both gateways.
struct BoundedBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
}

impl Write for BoundedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.bytes.len() + bytes.len() > self.max_bytes {
            self.bytes = Vec::new();
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.bytes.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Numbers of classes and plans.
fn counts(settings: &Settings) -> (usize, usize) {
    (settings.classes.len(), settings.plans.len())
}

impl Gateway {
    /// Returns the hand-over state: customers' accounts and rate limits, and the statistics of servers,
    /// classes and the meter. Its times are on this gateway's clock, which the successor must continue. Empty
    /// if the state would take more than `max_bytes`; the successor then starts without it.
    pub fn handover_state(&self, max_bytes: usize) -> String {
        let state = HandoverState {
            version: FORMAT_VERSION,
            counts: counts(&self.settings),
            meter_period: self.settings.meter_period,
            started_at: self.started_at,
            now: self.now,
            retry_budget: self.retry_budget,
            customers: MaybeOwned::Borrowed(&self.customers),
            admission: MaybeOwned::Borrowed(&self.admission),
            classes: MaybeOwned::Borrowed(&self.classes),
            balancer: MaybeOwned::Borrowed(&self.balancer),
            concurrency: MaybeOwned::Borrowed(&self.concurrency),
        };
        // Map keys are integers and all numbers are finite, so that everything can be represented in JSON;
        // only the size limit can fail.
        let mut text = BoundedBuffer { bytes: Vec::new(), max_bytes };
        let written = serde_json::to_writer(&mut text, &state);
        written.ok().and_then(|()| String::from_utf8(text.bytes).ok()).unwrap_or_default()
    }

    /// Continues from another gateway's state. `in_flight` contains the customer of each attempt in flight
    /// there. Returns a log line if the state cannot be applied; the gateway then continues with its initial
    /// state.
    pub(crate) fn take_over(&mut self, state: &str, in_flight: &[CustomerId]) -> Option<String> {
        let error = self.apply_handover(state).err();
        for customer in in_flight {
            if let Some(customer) = self.customers.get_mut(customer) {
                customer.in_flight += 1;
            }
        }
        error.map(|error| format!("what the other process had learned is not taken: {error}"))
    }

    /// Replaces this gateway's state by the parsed one, or leaves it unchanged on an error.
    fn apply_handover(&mut self, text: &str) -> Result<(), HandoverError> {
        let state: HandoverState = serde_json::from_str(text).map_err(HandoverError::Syntax)?;
        if state.version != FORMAT_VERSION {
            return Err(HandoverError::Version(state.version));
        }
        let is_same = state.counts == counts(&self.settings);
        if !is_same || state.meter_period != self.settings.meter_period || !self.requests.is_empty() {
            return Err(HandoverError::Mismatch);
        }
        // All parts are unwrapped before any is applied, as an error must leave the gateway unchanged.
        let (mut customers, admission) = (state.customers.into_owned()?, state.admission.into_owned()?);
        let (classes, mut balancer) = (state.classes.into_owned()?, state.balancer.into_owned()?);
        let concurrency = state.concurrency.into_owned()?;
        // The other gateway answers the requests that are queued there.
        for customer in customers.values_mut() {
            customer.in_flight = 0;
            customer.queue.clear();
        }
        balancer.reconfigure(&self.settings);
        (self.started_at, self.now) = (state.started_at, self.now.max(state.now));
        (self.customers, self.admission) = (customers, admission);
        (self.classes, self.balancer, self.concurrency) = (classes, balancer, concurrency);
        self.retry_budget = state.retry_budget;
        Ok(())
    }
}
