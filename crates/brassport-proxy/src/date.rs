//! The `Date` header of responses (RFC 9110, section 6.6.1), from the clock's seam.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::time::{Duration, UNIX_EPOCH};

/// A cache of the formatted date: it is formatted once a second at most.
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
    /// The header's value at this time since 1970-01-01 UTC. It follows a wall clock that is set back.
    pub fn value(&self, unix: Duration) -> HeaderValue {
        let mut last = self.last.borrow_mut();
        match &*last {
            Some(formatted) if formatted.unix_s == unix.as_secs() => formatted.value.clone(),
            _ => {
                let date = httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(unix.as_secs()));
                let value = HeaderValue::from_str(&date).unwrap_or_else(|_| HeaderValue::from_static(""));
                *last = Some(FormattedSecond { unix_s: unix.as_secs(), value: value.clone() });
                value
            }
        }
    }
}
