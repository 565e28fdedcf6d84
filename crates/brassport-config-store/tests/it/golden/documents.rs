//! Golden texts of serialized documents, and of the differences between them.

use super::{CHANGE, DOCUMENT, GOLDEN};
use brassport_config_store::configuration::{difference, Configuration, Document, Idempotency, Version};

#[test]
fn documents_and_differences_match_their_golden_texts() {
    let first = Document::empty().replace(DOCUMENT.as_bytes()).expect("the document is valid");
    let changed = first.change(CHANGE.as_bytes()).expect("the change is valid");
    let text = |document: &Document| String::from_utf8(document.to_bytes()).expect("JSON is text");
    for document in [&first, &changed] {
        let read = Document::from_bytes(&document.to_bytes()).expect("the document can be parsed");
        assert_eq!((&read, read.to_bytes()), (document, document.to_bytes()));
    }
    let differences = |older: &Document, newer: &Document| {
        difference(older.configuration(), newer.configuration())
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("\n")
    };
    let cases = [
        ("empty", text(&Document::empty())),
        ("replaced", text(&first)),
        ("changed", text(&changed)),
        ("difference from nothing", differences(&Document::empty(), &first)),
        ("difference by the change", differences(&first, &changed)),
        ("difference back", differences(&changed, &first)),
    ];
    GOLDEN.same_lines("documents", &cases.map(|(name, text)| (name.to_owned(), text)));
    check_fields(first.configuration());
}

/// Checks the typed values parsed from [`DOCUMENT`].
fn check_fields(parsed: &Configuration) {
    assert_eq!((parsed.version, parsed.requires_key), (Version(5), true));
    let (search, pay) = (&parsed.services["search"], &parsed.services["pay"]);
    assert_eq!((search.health_path.as_str(), search.max_connections, search.tls), ("/ok", 7, true));
    assert_eq!(
        (pay.health_path.as_str(), pay.max_connections, pay.protocol.as_str()),
        ("/health", 100, "h1")
    );
    assert_eq!((parsed.limits.max_header_bytes, parsed.limits.max_body_bytes), (4096, 67_108_864));
    assert_eq!((parsed.limits.header_timeout_s, parsed.limits.idle_timeout_s), (1.5, 9.0));
    let acme = &parsed.tenants["acme"];
    assert_eq!((acme.keys.len(), acme.rank, acme.rate_per_s, acme.burst), (2, 2, 12.5, 30.0));
    let (all, split) = (&parsed.routes[0], &parsed.routes[1]);
    assert_eq!(
        (all.host.as_str(), all.path_prefix.as_str(), all.idempotency),
        ("shop.example", "/", Idempotency::Safe)
    );
    assert_eq!(
        (all.timeout_s, all.latency_target_s, all.rank, all.max_attempts, all.public),
        (2.5, 0.5, 1, 3, true)
    );
    assert_eq!(all.targets, [("search".to_owned(), 1)]);
    assert_eq!(
        (split.idempotency, split.latency_target_s, split.max_attempts, split.public),
        (Idempotency::Unsafe, 600.0, 1, false)
    );
    assert_eq!(split.targets, [("pay".to_owned(), 3)]);
}
