//! What a gateway that goes on in another's place has to know, as text. It decides nothing.

use crate::admission::Admission;
use crate::choice::Fleet;
use crate::control::{Customer, Gateway};
use crate::interface::*;
use crate::room::Room;
use brassport_policy_stats::{ClassStatistics, UntrustedKeyMap};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::io::{self, Write};

/// The form of the text. One that is of another form is not read: to be raised with every change of what is kept.
const FORM: u32 = 3;

#[derive(Serialize, Deserialize)]
struct Heritage<'a> {
    form: u32,
    /// Classes and plans that there were.
    counts: (usize, usize),
    meter_period: Millis,
    born: Millis,
    now: Millis,
    retry_budget: f64,
    customers: Lent<'a, UntrustedKeyMap<CustomerId, Box<Customer>>>,
    admission: Lent<'a, Admission>,
    kinds: Lent<'a, ClassStatistics>,
    fleet: Lent<'a, Fleet>,
    room: Lent<'a, Room>,
}

/// Lent to be written, one's own once it was read.
enum Lent<'a, T> {
    Lent(&'a T),
    Own(T),
}

impl<T: Serialize> Serialize for Lent<'_, T> {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        match self {
            Lent::Lent(value) => value.serialize(to),
            Lent::Own(value) => value.serialize(to),
        }
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Lent<'_, T> {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        T::deserialize(from).map(Lent::Own)
    }
}

impl<T> Lent<'_, T> {
    fn own(self) -> Result<T, Cow<'static, str>> {
        match self {
            Lent::Own(value) => Ok(value),
            Lent::Lent(_) => Err("it was not read".into()),
        }
    }
}

/// Guards the memory of both: what does not fit is not written at all.
struct Bounded {
    bytes: Vec<u8>,
    most: usize,
}

impl Write for Bounded {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.bytes.len() + bytes.len() > self.most {
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
    /// What another gateway has to know to go on in this one's place: customers' accounts and ceilings, what was learned
    /// of servers, classes and the meter. Moments in it are of this gateway's clock, which the other has to go on with.
    /// Nothing if it would take more than so many bytes: the other learns anew then.
    pub fn heritage(&self, most: usize) -> String {
        let heritage = Heritage {
            form: FORM,
            counts: counts(&self.settings),
            meter_period: self.settings.meter_period,
            born: self.born,
            now: self.now,
            retry_budget: self.retry_budget,
            customers: Lent::Lent(&self.customers),
            admission: Lent::Lent(&self.admission),
            kinds: Lent::Lent(&self.kinds),
            fleet: Lent::Lent(&self.fleet),
            room: Lent::Lent(&self.room),
        };
        // Names of entries are numbers, and all figures are finite: there is nothing that JSON cannot hold.
        let mut text = Bounded { bytes: Vec::new(), most };
        let written = serde_json::to_writer(&mut text, &heritage);
        written.ok().and_then(|()| String::from_utf8(text.bytes).ok()).unwrap_or_default()
    }

    /// Goes on with what another had learned. Returns what staff should read if that makes no sense here, and then
    /// knows no more than at a start.
    pub(crate) fn inherit(&mut self, learned: &str, out: &[CustomerId]) -> Option<String> {
        let problem = self.take_on(learned).err();
        for customer in out {
            if let Some(customer) = self.customers.get_mut(customer) {
                customer.open += 1;
            }
        }
        problem.map(|problem| format!("what the other process had learned is not taken: {problem}"))
    }

    fn take_on(&mut self, learned: &str) -> Result<(), Cow<'static, str>> {
        let heritage: Heritage = serde_json::from_str(learned).map_err(|error| error.to_string())?;
        if heritage.form != FORM {
            return Err(format!("it has form {}, this program's is {FORM}", heritage.form).into());
        }
        let same = heritage.counts == counts(&self.settings);
        if !same || heritage.meter_period != self.settings.meter_period || !self.requests.is_empty() {
            return Err("it is of other settings, or comes too late".into());
        }
        let (mut customers, admission) = (heritage.customers.own()?, heritage.admission.own()?);
        // What waits there is answered there.
        for customer in customers.values_mut() {
            customer.open = 0;
            customer.held.clear();
        }
        let (kinds, mut fleet, room) = (heritage.kinds.own()?, heritage.fleet.own()?, heritage.room.own()?);
        fleet.settle(&self.settings);
        (self.born, self.now) = (heritage.born, self.now.max(heritage.now));
        (self.customers, self.admission) = (customers, admission);
        (self.kinds, self.fleet, self.room) = (kinds, fleet, room);
        self.retry_budget = heritage.retry_budget;
        Ok(())
    }
}
