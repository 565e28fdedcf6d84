//! Detects duplicates of values that have to be unique in a document: names, keys, and host and prefix pairs.

use super::ValidationError;
use std::collections::HashMap;

/// The values found so far, each with the path of its first occurrence.
#[derive(Default)]
pub struct FirstOccurrences(HashMap<String, String>);

impl FirstOccurrences {
    /// Records a value found at `path`. If it has occurred before, returns the path of its first occurrence.
    pub fn insert(&mut self, value: String, path: &str) -> Option<String> {
        match self.0.get(&value) {
            Some(first) => Some(first.clone()),
            None => {
                self.0.insert(value, path.to_owned());
                None
            }
        }
    }

    /// Records a name found at `path`, and an error if it has occurred before.
    pub fn check_name(&mut self, name: &str, path: &str, errors: &mut Vec<ValidationError>) {
        if let Some(first) = self.insert(name.to_owned(), path) {
            errors.push(ValidationError::DuplicateName {
                path: path.to_owned(),
                first,
                name: name.to_owned(),
            });
        }
    }
}
