//! What is wrong with a configuration: plain values, all reported together.

use super::Version;
use miette::Diagnostic;
use std::fmt;

/// One fault: what is wrong, where, and the way out (`help`). Keys are never named.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum ValidationError {
    /// The text can't be read as JSON.
    Unreadable {
        /// The line, from 1.
        line: usize,
        /// The column, from 1; 0 stands before the first.
        column: usize,
        /// What the reader of JSON says.
        what: String,
    },
    /// A field, or the whole, is of the wrong type.
    WrongType {
        /// The path of the field; empty for the whole.
        at: String,
        /// What is there.
        found: &'static str,
        /// What is wanted.
        wanted: String,
    },
    /// A field that must be there isn't.
    Missing {
        /// The path of the field.
        at: String,
    },
    /// A field's value is not allowed.
    BadValue {
        /// The path of the field.
        at: String,
        /// Why.
        what: String,
    },
    /// The version is not above the current one.
    OldVersion {
        /// The version that was sent.
        sent: Version,
        /// The current one.
        current: Version,
    },
    /// A route names a service that is not there.
    UnknownService {
        /// The path of the name.
        at: String,
        /// The service.
        service: String,
    },
    /// Two routes share host and prefix.
    SamePlace {
        /// The path of the later route.
        at: String,
        /// The path of the earlier one.
        other: String,
        /// Host and prefix.
        place: String,
    },
    /// Two items of one list have the same name.
    SameName {
        /// The path of the later item.
        at: String,
        /// The path of the earlier one.
        other: String,
        /// The name.
        name: String,
    },
    /// Two tenants share a key, or one tenant has it twice.
    SharedKey {
        /// The path of the later key.
        at: String,
        /// The path of the earlier one.
        other: String,
    },
    /// No target of a route has a weight above 0.
    NoTarget {
        /// The path of the route.
        at: String,
    },
}

impl ValidationError {
    /// Where the fault is: a path such as `hosts[2].paths[0].service`, empty for the whole. A
    /// change's faults are looked for in what it would result in; only what the change itself
    /// gets wrong stands under `put` and `remove`.
    pub fn at(&self) -> &str {
        match self {
            ValidationError::Unreadable { .. } => "",
            ValidationError::OldVersion { .. } => "version",
            ValidationError::WrongType { at, .. }
            | ValidationError::Missing { at }
            | ValidationError::BadValue { at, .. }
            | ValidationError::UnknownService { at, .. }
            | ValidationError::SamePlace { at, .. }
            | ValidationError::SameName { at, .. }
            | ValidationError::SharedKey { at, .. }
            | ValidationError::NoTarget { at } => at,
        }
    }

    /// The way out.
    pub fn help(&self) -> &'static str {
        match self {
            ValidationError::Unreadable { .. } => "send the whole document as JSON",
            ValidationError::WrongType { .. } => "give the field the type that is wanted",
            ValidationError::Missing { .. } => "add the field",
            ValidationError::BadValue { .. } => "give the field an allowed value",
            ValidationError::OldVersion { .. } => "give it a version above the current one",
            ValidationError::UnknownService { .. } => "add the service, or name one that is there",
            ValidationError::SamePlace { .. } => "remove one of the routes, or give it another prefix",
            ValidationError::SameName { .. } => "remove one of the items, or give it another name",
            ValidationError::SharedKey { .. } => "give every key to one tenant, once",
            ValidationError::NoTarget { .. } => "name a service, or give a weight above 0 in the split",
        }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = if self.at().is_empty() { "the configuration" } else { self.at() };
        match self {
            ValidationError::Unreadable { line, column, what } => {
                write!(formatter, "line {line}, column {column}: can't be read: {what}")
            }
            ValidationError::WrongType { found, wanted, .. } => {
                write!(formatter, "{whole}: is {found}, but {wanted} is wanted")
            }
            ValidationError::Missing { .. } => write!(formatter, "{whole}: is missing"),
            ValidationError::BadValue { what, .. } => write!(formatter, "{whole}: {what}"),
            ValidationError::OldVersion { sent, current } => {
                write!(formatter, "{whole}: {sent} is not above the current {current}")
            }
            ValidationError::UnknownService { service, .. } => {
                write!(formatter, "{whole}: there is no service {service:?}")
            }
            ValidationError::SamePlace { other, place, .. } => {
                write!(formatter, "{whole}: has host and prefix {place:?} of {other}")
            }
            ValidationError::SameName { other, name, .. } => {
                write!(formatter, "{whole}: has the name {name:?} of {other}")
            }
            ValidationError::SharedKey { other, .. } => write!(formatter, "{whole}: is the key at {other}"),
            ValidationError::NoTarget { .. } => write!(formatter, "{whole}: goes to no service"),
        }
    }
}

impl std::error::Error for ValidationError {}

impl Diagnostic for ValidationError {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.help()))
    }
}

/// All faults of a configuration; at least one. `Display` gives one line for each.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl ValidationErrors {
    /// The faults in the order in which they were found.
    pub fn iter(&self) -> std::slice::Iter<'_, ValidationError> {
        self.0.iter()
    }
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, fault) in self.0.iter().enumerate() {
            if place > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{fault} ({})", fault.help())?;
        }
        Ok(())
    }
}

impl std::error::Error for ValidationErrors {}

impl Diagnostic for ValidationErrors {
    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.0.iter().map(|fault| fault as &dyn Diagnostic)))
    }
}
