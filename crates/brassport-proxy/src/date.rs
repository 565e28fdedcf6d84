//! The `Date` header of responses (RFC 9110, section 6.6.1), formatted from a given wall-clock time.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::time::{Duration, UNIX_EPOCH};

/// Caches the formatted date, so that it is formatted at most once per second.
#[derive(Debug, Default)]
pub struct DateHeader {
    last: RefCell<Option<FormattedSecond>>,
}

#[derive(Debug)]
struct FormattedSecond {
    unix_s: u64,
    value: HeaderValue,
}

impl DateHeader {
    /// The header value for `unix_time`, the time since 1970-01-01 UTC. It follows the wall clock also when that is set
    /// back.
    pub fn value(&self, unix_time: Duration) -> HeaderValue {
        let mut last = self.last.borrow_mut();
        match &*last {
            Some(formatted) if formatted.unix_s == unix_time.as_secs() => formatted.value.clone(),
            _ => {
                let date = httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(unix_time.as_secs()));
                let value = HeaderValue::from_str(&date).unwrap_or_else(|_| HeaderValue::from_static(""));
                *last = Some(FormattedSecond { unix_s: unix_time.as_secs(), value: value.clone() });
                value
            }
        }
    }
}
