//! Valid documents: their parsed values, and their serialization.

use super::{assert_no_key_in, bytes, example, example_document, set};
use brassport_config_store::configuration::{
    difference, Configuration, Document, Idempotency, Limits, RouteTable, Version,
};
use serde_json::{json, Value};

const FIRST_ROUTE: &str = "/hosts/0/paths/0";

#[test]
fn the_example_is_parsed_field_by_field() {
    let document = example_document();
    let read = document.configuration();
    assert_eq!(document.version(), Version(7));
    assert_eq!(read.version, Version(7));
    assert!(read.requires_key);
    assert_eq!(
        read.limits,
        Limits {
            max_header_bytes: 8192,
            max_body_bytes: 1_048_576,
            header_timeout_s: 2.0,
            idle_timeout_s: 15.0
        }
    );
    let service = &read.services["wuno96b"];
    assert_eq!((service.health_path.as_str(), service.max_connections, service.tls), ("/well", 120, true));
    assert_eq!(service.protocol, "h1");
    let [one, two] = &read.routes[..] else { panic!("{read:?}") };
    assert_eq!((one.name.as_str(), one.host.as_str()), ("r-one", "jepu9.example"));
    assert_eq!(
        (one.path_prefix.as_str(), one.idempotency, one.public),
        ("/lepu270/", Idempotency::Safe, false)
    );
    assert_eq!((one.timeout_s, one.latency_target_s, one.rank, one.max_attempts), (1.5, 0.4, 2, 2));
    assert_eq!(one.targets, [("huvo11a".to_owned(), 90), ("kafi81c".to_owned(), 10)]);
    assert_eq!((two.idempotency, two.public, two.max_attempts), (Idempotency::Unsafe, true, 3));
    assert_eq!(two.targets, [("wuno96b".to_owned(), 1)]);
    let tenant = &read.tenants["yefi830"];
    assert_eq!((tenant.keys.len(), tenant.rank, tenant.rate_per_s, tenant.burst), (2, 1, 123.0, 12.5));
    let tenant = &read.tenants["zola12"];
    assert_eq!((tenant.rank, tenant.rate_per_s, tenant.burst), (0, 0.0, 0.0));
}

#[test]
fn omitted_fields_have_their_defaults() {
    let mut document = example();
    let fields = document.as_object_mut().unwrap();
    fields.remove("limits");
    fields.remove("customers");
    fields.insert("services".to_owned(), json!([{"name": "s"}]));
    let route = json!({"name": "r", "pathStart": "/", "giveUpS": 3, "service": "s"});
    fields.insert("hosts".to_owned(), json!([{"host": "A.Example:8080", "paths": [route]}, {"host": "b"}]));
    let document = Document::empty().replace(&bytes(&document)).unwrap();
    let read = document.configuration();
    assert_eq!(read.limits, Limits::default());
    assert!(!read.requires_key && read.tenants.is_empty());
    let route = &read.routes[0];
    assert_eq!(
        (route.host.as_str(), route.idempotency, route.latency_target_s),
        ("a.example", Idempotency::Unsafe, 3.0)
    );
    assert_eq!((route.rank, route.max_attempts, route.public), (0, 1, false));
    assert_eq!(
        (read.services["s"].health_path.as_str(), read.services["s"].max_connections),
        ("/health", 100)
    );
}

#[test]
fn limits_of_0_are_the_defaults_and_a_timeout_of_600_s_is_allowed() {
    let document = set("/limits", json!({"maxBodyBytes": 0, "idleWaitS": 0}));
    assert_eq!(
        Document::empty().replace(&bytes(&document)).unwrap().configuration().limits,
        Limits::default()
    );
    let document = set("/hosts/1/paths/0/giveUpS", json!(600));
    assert_eq!(
        Document::empty().replace(&bytes(&document)).unwrap().configuration().routes[1].timeout_s,
        600.0
    );
}

#[test]
fn a_target_of_weight_0_is_left_out() {
    let document = set(&format!("{FIRST_ROUTE}/split/1/weight"), json!(0));
    let document = Document::empty().replace(&bytes(&document)).unwrap();
    assert_eq!(document.configuration().routes[0].targets, [("huvo11a".to_owned(), 90)]);
}

#[test]
fn a_document_round_trips_through_its_bytes() {
    let document = example_document();
    let bytes = document.to_bytes();
    assert_eq!(serde_json::from_slice::<Value>(&bytes).unwrap(), example());
    let again = Document::from_bytes(&bytes).unwrap();
    assert_eq!(again, document);
    assert_eq!(again.to_bytes(), bytes);
    let empty = Document::empty();
    assert_eq!(empty.version(), Version(0));
    assert_eq!(empty.configuration(), &Configuration::default());
    assert_eq!(Document::from_bytes(&empty.to_bytes()).unwrap(), empty);
}

#[test]
fn keys_are_never_printed() {
    let document = example_document();
    assert_no_key_in(&format!("{document:?}"));
    assert_no_key_in(&format!("{:#?}", document.configuration()));
    assert_no_key_in(&format!("{:?}", RouteTable::new(document.configuration())));
    assert_no_key_in(&format!("{:?}", difference(&Configuration::default(), document.configuration())));
}
