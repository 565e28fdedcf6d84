//! Finds what may stand only once in a document: names, keys, and hosts with prefixes.

use super::ValidationError;
use std::collections::HashMap;

/// What was found so far, each with the path of where it stands first.
#[derive(Default)]
pub struct FirstPositions(HashMap<String, String>);

impl FirstPositions {
    /// Notes `what` at a path. Returns the earlier path if there is one.
    pub fn note(&mut self, what: String, at: &str) -> Option<String> {
        match self.0.get(&what) {
            Some(earlier) => Some(earlier.clone()),
            None => {
                self.0.insert(what, at.to_owned());
                None
            }
        }
    }

    /// Notes a name, and an error if it was there before.
    pub fn name(&mut self, name: &str, at: &str, errors: &mut Vec<ValidationError>) {
        if let Some(other) = self.note(name.to_owned(), at) {
            errors.push(ValidationError::DuplicateName { at: at.to_owned(), other, name: name.to_owned() });
        }
    }
}
