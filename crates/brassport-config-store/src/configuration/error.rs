//! Errors of a configuration: plain values, all reported together.

use super::Version;
use miette::Diagnostic;
use std::fmt;

/// One error: what is wrong, where, and the help. Keys are never named.
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
    /// A field, or the complete document, is of the wrong type.
    WrongType {
        /// The path of the field; empty for the complete document.
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
    StaleVersion {
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
    DuplicateLocation {
        /// The path of the later route.
        at: String,
        /// The path of the earlier one.
        other: String,
        /// Host and prefix.
        location: String,
    },
    /// Two items of one list have the same name.
    DuplicateName {
        /// The path of the later item.
        at: String,
        /// The path of the earlier one.
        other: String,
        /// The name.
        name: String,
    },
    /// Two tenants share a key, or one tenant has it twice.
    DuplicateKey {
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
    /// The path of the error, such as `hosts[2].paths[0].service`, empty for the complete document. A
    /// change is checked by what it would result in; only what the change itself
    /// gets wrong stands under `put` and `remove`.
    pub fn at(&self) -> &str {
        match self {
            ValidationError::Unreadable { .. } => "",
            ValidationError::StaleVersion { .. } => "version",
            ValidationError::WrongType { at, .. }
            | ValidationError::Missing { at }
            | ValidationError::BadValue { at, .. }
            | ValidationError::UnknownService { at, .. }
            | ValidationError::DuplicateLocation { at, .. }
            | ValidationError::DuplicateName { at, .. }
            | ValidationError::DuplicateKey { at, .. }
            | ValidationError::NoTarget { at } => at,
        }
    }

    /// What the operator can do about it.
    pub fn help(&self) -> &'static str {
        match self {
            ValidationError::Unreadable { .. } => "send the whole document as JSON",
            ValidationError::WrongType { .. } => "give the field the type that is wanted",
            ValidationError::Missing { .. } => "add the field",
            ValidationError::BadValue { .. } => "give the field an allowed value",
            ValidationError::StaleVersion { .. } => "give it a version above the current one",
            ValidationError::UnknownService { .. } => "add the service, or name one that is there",
            ValidationError::DuplicateLocation { .. } => {
                "remove one of the routes, or give it another prefix"
            }
            ValidationError::DuplicateName { .. } => "remove one of the items, or give it another name",
            ValidationError::DuplicateKey { .. } => "give every key to one tenant, once",
            ValidationError::NoTarget { .. } => "name a service, or give a weight above 0 in the split",
        }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.at().is_empty() { "the configuration" } else { self.at() };
        match self {
            ValidationError::Unreadable { line, column, what } => {
                write!(formatter, "line {line}, column {column}: can't be read: {what}")
            }
            ValidationError::WrongType { found, wanted, .. } => {
                write!(formatter, "{path}: is {found}, but {wanted} is wanted")
            }
            ValidationError::Missing { .. } => write!(formatter, "{path}: is missing"),
            ValidationError::BadValue { what, .. } => write!(formatter, "{path}: {what}"),
            ValidationError::StaleVersion { sent, current } => {
                write!(formatter, "{path}: {sent} is not above the current {current}")
            }
            ValidationError::UnknownService { service, .. } => {
                write!(formatter, "{path}: there is no service {service:?}")
            }
            ValidationError::DuplicateLocation { other, location, .. } => {
                write!(formatter, "{path}: has host and prefix {location:?} of {other}")
            }
            ValidationError::DuplicateName { other, name, .. } => {
                write!(formatter, "{path}: has the name {name:?} of {other}")
            }
            ValidationError::DuplicateKey { other, .. } => write!(formatter, "{path}: is the key at {other}"),
            ValidationError::NoTarget { .. } => write!(formatter, "{path}: goes to no service"),
        }
    }
}

impl std::error::Error for ValidationError {}

impl Diagnostic for ValidationError {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.help()))
    }
}

/// All errors of a configuration; at least one. `Display` gives one line for each.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl ValidationErrors {
    /// The errors in the order in which they were found.
    pub fn iter(&self) -> std::slice::Iter<'_, ValidationError> {
        self.0.iter()
    }
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.0.iter().enumerate() {
            if position > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{error} ({})", error.help())?;
        }
        Ok(())
    }
}

impl std::error::Error for ValidationErrors {}

impl Diagnostic for ValidationErrors {
    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.0.iter().map(|error| error as &dyn Diagnostic)))
    }
}
