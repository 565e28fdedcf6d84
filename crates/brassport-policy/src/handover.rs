//! The hand-over state: what a gateway that replaces another one must know, as a JSON text.
//!
//! The names in the text are those of its form 3: fields that were renamed since keep theirs by
//! `#[serde(rename)]`, and types theirs in error texts by `#[serde(expecting)]`.

use crate::admission::QuotaAdmission;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::interface::*;
use crate::load_balancer::LoadBalancer;
use crate::policy::{Customer, Gateway};
use brassport_policy_stats::{ClassStatistics, UntrustedKeyMap};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::io::{self, Write};

/// Version of the text's form; a text of another version is not read. To be raised with each change of the
/// form.
const FORM: u32 = 3;

#[derive(Serialize, Deserialize)]
#[serde(expecting = "struct Heritage with 11 elements")]
struct HandoverState<'a> {
    form: u32,
    /// Numbers of classes and plans.
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

/// Borrowed to be written, owned once it was read.
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
            MaybeOwned::Borrowed(_) => Err(HandoverError::NotRead),
        }
    }
}

/// Why a hand-over state was not applied.
#[derive(Debug)]
enum HandoverError {
    /// The text is not JSON, or not of the expected structure.
    Syntax(serde_json::Error),
    /// The text has this form, which is not [`FORM`].
    Form(u32),
    /// It belongs to other settings, or requests came before it.
    Mismatch,
    /// A part was not read; cannot occur for a parsed text.
    NotRead,
}

impl fmt::Display for HandoverError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HandoverError::Syntax(error) => error.fmt(f),
            HandoverError::Form(form) => write!(f, "it has form {form}, this program's is {FORM}"),
            HandoverError::Mismatch => f.write_str("it is of other settings, or comes too late"),
            HandoverError::NotRead => f.write_str("it was not read"),
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

/// A buffer that gives up when the text would exceed a limit, to guard the memory of both gateways.
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

fn counts(settings: &Settings) -> (usize, usize) {
    (settings.classes.len(), settings.plans.len())
}

impl Gateway {
    /// The hand-over state: customers' accounts and rate limits, and what was learned of servers, classes and
    /// the meter. Moments in it are of this gateway's clock, which the successor must continue. Empty if it
    /// would take more than `max_bytes`: the successor then starts without it.
    pub fn handover_state(&self, max_bytes: usize) -> String {
        let state = HandoverState {
            form: FORM,
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
        // Keys of maps are integers and all figures are finite, so that JSON can hold everything; only the
        // limit fails.
        let mut text = BoundedBuffer { bytes: Vec::new(), max_bytes };
        let written = serde_json::to_writer(&mut text, &state);
        written.ok().and_then(|()| String::from_utf8(text.bytes).ok()).unwrap_or_default()
    }

    /// Continues from another gateway's state; `in_flight` has the customer of each attempt in flight there.
    /// Returns a log line if the state cannot be applied; the gateway is then as at its start.
    pub(crate) fn inherit(&mut self, state: &str, in_flight: &[CustomerId]) -> Option<String> {
        let problem = self.apply_handover(state).err();
        for customer in in_flight {
            if let Some(customer) = self.customers.get_mut(customer) {
                customer.in_flight += 1;
            }
        }
        problem.map(|problem| format!("what the other process had learned is not taken: {problem}"))
    }

    fn apply_handover(&mut self, text: &str) -> Result<(), HandoverError> {
        let state: HandoverState = serde_json::from_str(text).map_err(HandoverError::Syntax)?;
        if state.form != FORM {
            return Err(HandoverError::Form(state.form));
        }
        let is_same = state.counts == counts(&self.settings);
        if !is_same || state.meter_period != self.settings.meter_period || !self.requests.is_empty() {
            return Err(HandoverError::Mismatch);
        }
        // All parts are taken out before one is applied: an error must leave the gateway as it is.
        let (mut customers, admission) = (state.customers.into_owned()?, state.admission.into_owned()?);
        let (classes, mut balancer) = (state.classes.into_owned()?, state.balancer.into_owned()?);
        let concurrency = state.concurrency.into_owned()?;
        // Requests that are queued there are answered there.
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
