//! The `Date` header.

use brassport_proxy::date::DateHeader;
use std::time::Duration;

#[test]
fn the_date_follows_the_wall_clock_in_both_directions() {
    let date = DateHeader::default();
    let at = |second: f64| date.value(Duration::from_secs_f64(second));
    assert_eq!(at(784_111_777.2), "Sun, 06 Nov 1994 08:49:37 GMT");
    assert_eq!(at(784_111_777.9), "Sun, 06 Nov 1994 08:49:37 GMT");
    assert_eq!(at(784_111_778.0), "Sun, 06 Nov 1994 08:49:38 GMT");
    assert_eq!(at(784_111_776.0), "Sun, 06 Nov 1994 08:49:36 GMT", "after the wall clock was set back");
}
