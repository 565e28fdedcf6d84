//! Validation errors of a configuration, which are reported all together.

use super::Version;
use miette::Diagnostic;
use std::fmt;

/// A validation error, with the path of the invalid part and a hint for the operator. Never contains keys.
#[derive(Clone, Debug, PartialEq)]
#[non_exhaustive]
pub enum ValidationError {
    /// The text is not valid JSON.
    InvalidJson {
        /// The line, counted from 1.
        line: usize,
        /// The column, counted from 1; 0 before the first character.
        column: usize,
        /// The message of the JSON parser.
        reason: String,
    },
    /// A field, or the complete document, has the wrong type.
    WrongType {
        /// The path of the field; empty for the complete document.
        path: String,
        /// The type that was found.
        found: &'static str,
        /// The expected type.
        expected: String,
    },
    /// A required field is missing.
    MissingField {
        /// The path of the field.
        path: String,
    },
    /// A field's value is not allowed.
    InvalidValue {
        /// The path of the field.
        path: String,
        /// Why the value is not allowed.
        reason: String,
    },
    /// The version is not above the current one.
    StaleVersion {
        /// The version that was sent.
        sent: Version,
        /// The version in force.
        current: Version,
    },
    /// A route refers to a service that does not exist.
    UnknownService {
        /// The path of the field that names the service.
        path: String,
        /// The name of the service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    DuplicateLocation {
        /// The path of the later route.
        path: String,
        /// The path of the first occurrence.
        first: String,
        /// The host, followed by the prefix.
        location: String,
    },
    /// Two items of one list have the same name.
    DuplicateName {
        /// The path of the later item.
        path: String,
        /// The path of the first occurrence.
        first: String,
        /// The name that both items have.
        name: String,
    },
    /// A key occurs twice, in two tenants or in one.
    DuplicateKey {
        /// The path of the later key.
        path: String,
        /// The path of the first occurrence.
        first: String,
    },
    /// No target of a route has a weight above 0.
    NoTarget {
        /// The path of the route.
        path: String,
    },
}

impl ValidationError {
    /// The path of the invalid part, such as `hosts[2].paths[0].service`; empty for the complete document. Errors of
    /// the document that results from a change have paths in that document. Only errors of the change itself have paths
    /// under `put` and `remove`.
    pub fn path(&self) -> &str {
        match self {
            ValidationError::InvalidJson { .. } => "",
            ValidationError::StaleVersion { .. } => "version",
            ValidationError::WrongType { path, .. }
            | ValidationError::MissingField { path }
            | ValidationError::InvalidValue { path, .. }
            | ValidationError::UnknownService { path, .. }
            | ValidationError::DuplicateLocation { path, .. }
            | ValidationError::DuplicateName { path, .. }
            | ValidationError::DuplicateKey { path, .. }
            | ValidationError::NoTarget { path } => path,
        }
    }

    /// A hint how the operator can fix the error.
    pub fn help(&self) -> &'static str {
        match self {
            ValidationError::InvalidJson { .. } => "send the whole document as JSON",
            ValidationError::WrongType { .. } => "give the field the type that is wanted",
            ValidationError::MissingField { .. } => "add the field",
            ValidationError::InvalidValue { .. } => "give the field an allowed value",
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
        let path = if self.path().is_empty() { "the configuration" } else { self.path() };
        match self {
            ValidationError::InvalidJson { line, column, reason } => {
                write!(formatter, "line {line}, column {column}: can't be read: {reason}")
            }
            ValidationError::WrongType { found, expected, .. } => {
                write!(formatter, "{path}: is {found}, but {expected} is wanted")
            }
            ValidationError::MissingField { .. } => write!(formatter, "{path}: is missing"),
            ValidationError::InvalidValue { reason, .. } => write!(formatter, "{path}: {reason}"),
            ValidationError::StaleVersion { sent, current } => {
                write!(formatter, "{path}: {sent} is not above the current {current}")
            }
            ValidationError::UnknownService { service, .. } => {
                write!(formatter, "{path}: there is no service {service:?}")
            }
            ValidationError::DuplicateLocation { first, location, .. } => {
                write!(formatter, "{path}: has host and prefix {location:?} of {first}")
            }
            ValidationError::DuplicateName { first, name, .. } => {
                write!(formatter, "{path}: has the name {name:?} of {first}")
            }
            ValidationError::DuplicateKey { first, .. } => write!(formatter, "{path}: is the key at {first}"),
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

/// All errors of a configuration, at least one. `Display` writes one line for each.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationErrors(pub Vec<ValidationError>);

impl ValidationErrors {
    /// The errors, in the order in which they were found.
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
