//! Checks of single fields, in the form that `schematic` calls: value, partial layout, context, and whether it is the last
//! pass. The texts follow the field's path in an error ("services[0].name: is empty").

use schematic::{PathSegment, ValidateError, ValidateResult};

/// The longest `giveUpS`, in seconds: ten minutes, beyond which no client waits for an answer.
const MAX_TIMEOUT_S: f64 = 600.0;

fn require(is_valid: bool, reason: &str) -> ValidateResult {
    if is_valid {
        Ok(())
    } else {
        Err(ValidateError::new(reason))
    }
}

/// A name: not empty, without control characters.
pub fn name<D, C>(value: &str, _: &D, _: &C, _: bool) -> ValidateResult {
    require(!value.is_empty(), "is empty")?;
    require(!value.chars().any(char::is_control), "has a control character")
}

/// A path that begins with a slash.
pub fn absolute_path<D, C>(value: &str, _: &D, _: &C, _: bool) -> ValidateResult {
    require(value.starts_with('/'), "does not begin with a slash")?;
    let plain = !value.chars().any(|letter| letter.is_control() || letter == ' ');
    require(plain, "has a space or a control character")
}

/// A prefix of paths: it begins and ends with a slash.
pub fn prefix<D, C>(value: &str, data: &D, context: &C, finalizing: bool) -> ValidateResult {
    absolute_path(value, data, context, finalizing)?;
    require(value.ends_with('/'), "does not end with a slash")
}

/// A number above 0.
pub fn above_0<D, C>(value: &f64, _: &D, _: &C, _: bool) -> ValidateResult {
    require(*value > 0.0, "is not above 0")
}

/// A time-out in seconds: above 0, at most [`MAX_TIMEOUT_S`].
pub fn timeout<D, C>(value: &f64, data: &D, context: &C, finalizing: bool) -> ValidateResult {
    above_0(value, data, context, finalizing)?;
    require(*value <= MAX_TIMEOUT_S, "is over ten minutes (600)")
}

/// A number that is not negative.
pub fn not_negative<D, C>(value: &f64, _: &D, _: &C, _: bool) -> ValidateResult {
    require(*value >= 0.0, "is negative")
}

/// A number of attempts: at least 1.
pub fn attempts<D, C>(value: &u32, _: &D, _: &C, _: bool) -> ValidateResult {
    require(*value > 0, "is 0: a request is sent to one backend at least")
}

/// Keys, of which none is empty.
pub fn keys<D, C>(value: &[String], _: &D, _: &C, _: bool) -> ValidateResult {
    match value.iter().position(String::is_empty) {
        Some(position) => Err(ValidateError::with_segment("is empty", PathSegment::Index(position))),
        None => Ok(()),
    }
}
