//! The `Date` header of answers (RFC 9110, section 6.6.1), from the clock's seam.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::time::{Duration, UNIX_EPOCH};

/// Formats the date once a second at most.
#[derive(Debug, Default)]
pub struct DateHeader {
    /// The second that is formatted, and its text.
    last: RefCell<Option<(u64, HeaderValue)>>,
}

impl DateHeader {
    /// The header's value at this time since 1970-01-01 UTC.
    pub fn value(&self, unix: Duration) -> HeaderValue {
        let mut last = self.last.borrow_mut();
        match &*last {
            Some((second, value)) if *second == unix.as_secs() => value.clone(),
            _ => {
                let date = httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(unix.as_secs()));
                let value = HeaderValue::from_str(&date).unwrap_or_else(|_| HeaderValue::from_static(""));
                *last = Some((unix.as_secs(), value.clone()));
                value
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn follows_the_wall_clock_in_both_directions() {
        let date = DateHeader::default();
        let at = |second: f64| date.value(Duration::from_secs_f64(second));
        assert_eq!(at(784_111_777.2), "Sun, 06 Nov 1994 08:49:37 GMT");
        assert_eq!(at(784_111_777.9), "Sun, 06 Nov 1994 08:49:37 GMT");
        assert_eq!(at(784_111_778.0), "Sun, 06 Nov 1994 08:49:38 GMT");
        assert_eq!(at(784_111_776.0), "Sun, 06 Nov 1994 08:49:36 GMT", "the wall clock may be set back");
    }
}
