//! The document as the operator wrote it.

use super::{change, parse, Configuration, ValidationError, ValidationErrors, Version};
use serde_json::{Map, Value};
use std::fmt;
use std::sync::Arc;

/// A configuration as the operator wrote it, complete and with unknown fields, and as the gateway
/// reads it. A clone shares both. `Debug` shows what the gateway reads, without the keys.
#[derive(Clone, PartialEq)]
pub struct Document {
    raw: Arc<Map<String, Value>>,
    parsed: Arc<Configuration>,
}

// JSON has no number that differs from itself.
impl Eq for Document {}

impl fmt::Debug for Document {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Document").field("parsed", &self.parsed).finish_non_exhaustive()
    }
}

impl Document {
    /// The document before the first: version 0, with nothing in it.
    pub fn empty() -> Document {
        let version = Value::String(Version::default().to_string());
        let none = || Value::Array(Vec::new());
        let raw = [("version", version), ("services", none()), ("hosts", none())];
        let raw = raw.into_iter().map(|(name, value)| (name.to_owned(), value)).collect();
        Document { raw: Arc::new(raw), parsed: Arc::default() }
    }

    /// Its version.
    pub fn version(&self) -> Version {
        self.parsed.version
    }

    /// The configuration that the gateway reads.
    pub fn configuration(&self) -> &Configuration {
        &self.parsed
    }

    /// `Config.Replace` on top of `self`. Checks everything except `X-Built-On`.
    ///
    /// # Errors
    /// All errors of the body, as read by itself.
    pub fn replace(&self, body: &[u8]) -> Result<Document, ValidationErrors> {
        Document::read(object(body)?, Some(self.version()))
    }

    /// `Config.Change` on top of `self`. Checks everything except `X-Built-On`.
    ///
    /// What `remove` names goes first, then `put` is applied: an item named in both is there
    /// afterwards, as put. Removing a name that isn't there is fine. A list's items are added, or
    /// replace the item with the same name at its position; anything else, as `limits`, is replaced
    /// completely. A route put under another host moves there. An entry of a host that loses its last
    /// route goes.
    ///
    /// # Errors
    /// All errors of the change and of what it would result in.
    pub fn change(&self, body: &[u8]) -> Result<Document, ValidationErrors> {
        let change = object(body)?;
        let mut errors = Vec::new();
        // The version is reported once, with the errors of the change itself.
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
                let more = more.into_iter().filter(|error| error.at() != "version");
                errors.extend(more);
                Err(ValidationErrors(errors))
            }
        }
    }

    /// The JSON, laid out as it is put.
    pub fn to_bytes(&self) -> Vec<u8> {
        // A map of JSON values can always be written.
        serde_json::to_vec(&*self.raw).unwrap_or_default()
    }

    /// Reads what [`Document::to_bytes`] gave. Any version will do.
    ///
    /// # Errors
    /// The bytes are no valid document.
    pub fn from_bytes(bytes: &[u8]) -> Result<Document, ValidationErrors> {
        Document::read(object(bytes)?, None)
    }

    fn read(raw: Map<String, Value>, above: Option<Version>) -> Result<Document, ValidationErrors> {
        let parsed = parse::configuration(&raw, above)?;
        Ok(Document { raw: Arc::new(raw), parsed: Arc::new(parsed) })
    }
}

/// Reads a body as a JSON object.
fn object(body: &[u8]) -> Result<Map<String, Value>, ValidationErrors> {
    match serde_json::from_slice(body) {
        Ok(Value::Object(object)) => Ok(object),
        Ok(other) => Err(ValidationErrors(vec![super::reader::wrong_type("", &other, "an object")])),
        Err(error) => {
            let (line, column) = (error.line(), error.column());
            let what = error.to_string();
            let what = what.split(" at line ").next().unwrap_or_default().to_owned();
            Err(ValidationErrors(vec![ValidationError::Unreadable { line, column, what }]))
        }
    }
}
