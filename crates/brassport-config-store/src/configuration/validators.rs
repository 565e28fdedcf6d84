//! Validators of single fields with the signature that `schematic` calls: value, partial layout, context, and whether
//! it is the final pass. In an error, the message follows the path of the field (`services[0].name: is empty`).

use schematic::{PathSegment, ValidateError, ValidateResult};

/// Maximum of `giveUpS`, in seconds: ten minutes, longer than any client waits for a response.
const MAX_TIMEOUT_S: f64 = 600.0;

fn require(is_valid: bool, reason: &str) -> ValidateResult {
    if is_valid {
        Ok(())
    } else {
        Err(ValidateError::new(reason))
    }
}

/// Requires a name: not empty, without control characters.
pub fn name<D, C>(value: &str, _: &D, _: &C, _: bool) -> ValidateResult {
    require(!value.is_empty(), "is empty")?;
    require(!value.chars().any(char::is_control), "has a control character")
}

/// Requires a path that begins with a slash and contains no spaces and no control characters.
pub fn absolute_path<D, C>(value: &str, _: &D, _: &C, _: bool) -> ValidateResult {
    require(value.starts_with('/'), "does not begin with a slash")?;
    let is_plain = !value.chars().any(|character| character.is_control() || character == ' ');
    require(is_plain, "has a space or a control character")
}

/// Requires a path prefix: it begins and ends with a slash.
pub fn prefix<D, C>(value: &str, data: &D, context: &C, finalizing: bool) -> ValidateResult {
    absolute_path(value, data, context, finalizing)?;
    require(value.ends_with('/'), "does not end with a slash")
}

/// Requires a number above 0.
pub fn above_0<D, C>(value: &f64, _: &D, _: &C, _: bool) -> ValidateResult {
    require(*value > 0.0, "is not above 0")
}

/// Requires a time-out in seconds: above 0, at most [`MAX_TIMEOUT_S`].
pub fn timeout<D, C>(value: &f64, data: &D, context: &C, finalizing: bool) -> ValidateResult {
    above_0(value, data, context, finalizing)?;
    require(*value <= MAX_TIMEOUT_S, "is over ten minutes (600)")
}

/// Requires a number that is not negative.
pub fn not_negative<D, C>(value: &f64, _: &D, _: &C, _: bool) -> ValidateResult {
    require(*value >= 0.0, "is negative")
}

/// Requires a number of attempts: at least 1.
pub fn attempts<D, C>(value: &u32, _: &D, _: &C, _: bool) -> ValidateResult {
    require(*value > 0, "is 0: a request is sent to one backend at least")
}

/// Requires that no key in the list is empty.
pub fn keys<D, C>(value: &[String], _: &D, _: &C, _: bool) -> ValidateResult {
    match value.iter().position(String::is_empty) {
        Some(position) => Err(ValidateError::with_segment("is empty", PathSegment::Index(position))),
        None => Ok(()),
    }
}
