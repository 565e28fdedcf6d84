//! The configuration document: the operator's JSON together with the typed values parsed from it.

use super::{change, parse, Configuration, ValidationError, ValidationErrors, Version};
use serde_json::{Map, Value};
use std::fmt;
use std::sync::Arc;

/// A configuration as the operator's complete JSON, including unknown fields, and as the typed values that the gateway
/// uses. Clones share both. `Debug` prints the typed values, without the keys.
#[derive(Clone, PartialEq)]
pub struct Document {
    raw: Arc<Map<String, Value>>,
    parsed: Arc<Configuration>,
}

// JSON has no NaN, so equality is reflexive.
impl Eq for Document {}

impl fmt::Debug for Document {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Document").field("parsed", &self.parsed).finish_non_exhaustive()
    }
}

impl Document {
    /// The initial document: version 0, without services, hosts, tenants and limits.
    pub fn empty() -> Document {
        let version = Value::String(Version::default().to_string());
        let none = || Value::Array(Vec::new());
        let raw = [("version", version), ("services", none()), ("hosts", none())];
        let raw = raw.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
        Document { raw: Arc::new(raw), parsed: Arc::default() }
    }

    /// The version of the document.
    pub fn version(&self) -> Version {
        self.parsed.version
    }

    /// The typed configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.parsed
    }

    /// Replaces this document by a complete one (`Config.Replace`). The caller checks `X-Built-On`.
    ///
    /// # Errors
    /// All errors of the new document.
    pub fn replace(&self, body: &[u8]) -> Result<Document, ValidationErrors> {
        Document::read(object(body)?, Some(self.version()))
    }

    /// Changes named items of this document (`Config.Change`). The caller checks `X-Built-On`.
    ///
    /// `remove` is applied before `put`, so an item named in both is present afterwards, as put. Removing an absent
    /// name is not an error. An item put into a list is added, or replaces the item of the same name at its position;
    /// any other value, such as `limits`, is replaced completely. A route put under another host moves to that host. A
    /// host entry that loses its last route is removed.
    ///
    /// # Errors
    /// All errors of the change and of the resulting document.
    pub fn change(&self, body: &[u8]) -> Result<Document, ValidationErrors> {
        let change = object(body)?;
        let mut errors = Vec::new();
        // An invalid version is reported here, with the errors of the change itself, and not again for the result.
        parse::version(&change, Some(self.version()), &mut errors);
        let mut raw = (*self.raw).clone();
        change::apply(&mut raw, &change, &mut errors);
        if let Some(version) = change.get("version") {
            raw.insert("version".to_owned(), version.clone());
        }
        match Document::read(raw, None) {
            Ok(document) if errors.is_empty() => Ok(document),
            Ok(_) => Err(ValidationErrors(errors)),
            Err(ValidationErrors(more)) => {
                let more = more.into_iter().filter(|error| error.path() != "version");
                errors.extend(more);
                Err(ValidationErrors(errors))
            }
        }
    }

    /// The JSON text of the document, in the format of `Config.Replace` and with its fields in their order.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Serializing a map of JSON values can't fail.
        serde_json::to_vec(&*self.raw).unwrap_or_default()
    }

    /// Parses the output of [`Document::to_bytes`]. The version may be any valid one.
    ///
    /// # Errors
    /// The bytes are not a valid document.
    pub fn from_bytes(bytes: &[u8]) -> Result<Document, ValidationErrors> {
        Document::read(object(bytes)?, None)
    }

    fn read(raw: Map<String, Value>, current: Option<Version>) -> Result<Document, ValidationErrors> {
        let parsed = parse::configuration(&raw, current)?;
        Ok(Document { raw: Arc::new(raw), parsed: Arc::new(parsed) })
    }
}

/// Parses a body as a JSON object.
fn object(body: &[u8]) -> Result<Map<String, Value>, ValidationErrors> {
    match serde_json::from_slice(body) {
        Ok(Value::Object(object)) => Ok(object),
        Ok(other) => Err(ValidationErrors(vec![super::reader::wrong_type("", &other, "an object")])),
        Err(error) => {
            let (line, column) = (error.line(), error.column());
            let reason = error.to_string();
            let reason = reason.split(" at line ").next().unwrap_or_default().to_owned();
            Err(ValidationErrors(vec![ValidationError::InvalidJson { line, column, reason }]))
        }
    }
}
