//! Versions of a configuration.

use std::fmt;
use std::str::FromStr;

/// The version of a configuration, displayed as eight hexadecimal digits. Later versions are higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u32);

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

/// The error of parsing a text that is not a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseVersionError;

impl fmt::Display for ParseVersionError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("is not a version: a version is eight hexadecimal digits")
    }
}

impl std::error::Error for ParseVersionError {}

impl FromStr for Version {
    type Err = ParseVersionError;

    /// Parses one to eight hexadecimal digits; fewer than eight are allowed since `X-Built-On` may be a plain `0`.
    fn from_str(text: &str) -> Result<Version, ParseVersionError> {
        let digits = (1..=8).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !digits {
            return Err(ParseVersionError);
        }
        u32::from_str_radix(text, 16).map(Version).map_err(|_| ParseVersionError)
    }
}
