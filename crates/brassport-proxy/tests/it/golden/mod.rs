//! Golden tests: the bytes that this package writes to clients and backends must not change. Each case is sent over a
//! socket or built in code, and is compared with a fixture in `tests/golden`. With `GOLDEN_WRITE=1` the fixtures are
//! rewritten and the tests fail.

mod downstream;
mod upstream;

use brassport_golden::Fixtures;
use brassport_proxy::date::DateHeader;
use brassport_proxy::responses::forwarded_headers;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));

/// Formats the cases as fixture text, one line per case.
fn lines(cases: &[(String, String)]) -> String {
    cases.iter().map(|(name, value)| format!("{name}: {value}\n")).collect()
}

/// Escapes bytes as printable text.
fn printable(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

#[test]
fn the_format_of_dates_is_unchanged() {
    let date = DateHeader::default();
    let seconds =
        [0.0, 0.999, 1.0, 784_111_777.0, 951_782_400.0, 1_709_164_799.9, 4_102_444_800.0, 253_402_300_799.0];
    let cases = seconds.map(|second| {
        let value = date.value(Duration::from_secs_f64(second));
        (second.to_string(), printable(value.as_bytes()))
    });
    GOLDEN.same_text("dates.txt", &lines(&cases));
}

#[test]
fn the_filter_of_forwarded_headers_is_unchanged() {
    let all = [
        ("host", "a"),
        ("connection", "keep-alive, X-Hop , x-kept,, bad name"),
        ("connection", "close"),
        ("x-hop", "1"),
        ("x-kept", "2"),
        ("keep-alive", "timeout=5"),
        ("proxy-connection", "x"),
        ("te", "trailers"),
        ("trailer", "x-t"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("expect", "100-continue"),
        ("content-length", "5"),
        ("content-type", "text/plain"),
        ("cookie", "a=b"),
        ("cookie", "c=d"),
        ("own", "x"),
        ("date", "then"),
        ("proxy-authorization", "basic"),
    ];
    let mut headers = HeaderMap::new();
    for (name, value) in all {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    let (own, kept) = ([HeaderName::from_static("own")], [HeaderName::from_static("x-kept")]);
    let cases = [
        ("nothing own, nothing kept", forwarded_headers(headers.clone(), &[], &[])),
        ("own", forwarded_headers(headers.clone(), &own, &[])),
        ("own and kept", forwarded_headers(headers, &own, &kept)),
        ("none", forwarded_headers(HeaderMap::new(), &own, &kept)),
    ];
    let written = cases.map(|(name, headers)| {
        let headers: Vec<_> =
            headers.iter().map(|(name, value)| format!("{name}={}", printable(value.as_bytes()))).collect();
        (name.to_string(), headers.join(" | "))
    });
    GOLDEN.same_text("headers.txt", &lines(&written));
}
