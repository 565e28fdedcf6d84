//! Golden texts and paths of all validation errors.

use super::{DOCUMENT, GOLDEN};
use brassport_config_store::configuration::{Document, ValidationError, ValidationErrors};
use std::collections::BTreeSet;

type Outcome = Result<Document, ValidationErrors>;
type Case = (&'static str, Outcome);

/// The fields of a valid route to a service `s`.
const ROUTE: &str = r#""name":"r","pathStart":"/","giveUpS":1,"service":"s""#;

/// The name of a variant. The enum is non-exhaustive outside its package, so a new variant panics here when it occurs.
fn variant_name(error: &ValidationError) -> &'static str {
    match error {
        ValidationError::InvalidJson { .. } => "invalid JSON",
        ValidationError::WrongType { .. } => "wrong type",
        ValidationError::MissingField { .. } => "missing field",
        ValidationError::InvalidValue { .. } => "invalid value",
        ValidationError::StaleVersion { .. } => "stale version",
        ValidationError::UnknownService { .. } => "unknown service",
        ValidationError::DuplicateLocation { .. } => "duplicate location",
        ValidationError::DuplicateName { .. } => "duplicate name",
        ValidationError::DuplicateKey { .. } => "duplicate key",
        ValidationError::NoTarget { .. } => "no target",
        other => panic!("a variant without a name: {other}"),
    }
}

fn base() -> Document {
    Document::empty().replace(DOCUMENT.as_bytes()).expect("the document is valid")
}

fn replaced(body: &str) -> Outcome {
    base().replace(body.as_bytes())
}

fn route(fields: &str) -> Outcome {
    replaced(&format!(
        r#"{{"version":"00000009","services":[{{"name":"s"}}],"hosts":[{{"host":"h","paths":[{{{fields}}}]}}]}}"#
    ))
}

fn with(fields: &str) -> Outcome {
    replaced(&format!("{{\"version\":\"00000009\",{fields}}}"))
}

fn changed(fields: &str) -> Outcome {
    base().change(format!("{{\"version\":\"00000009\",{fields}}}").as_bytes())
}

/// Invalid JSON, wrong types of the complete document, and invalid versions.
fn syntax_cases() -> Vec<Case> {
    vec![
        ("no JSON", replaced("{\n \"version\": }")),
        ("cut off", replaced("{\"version\":")),
        ("empty", replaced("")),
        ("a list", replaced("[]")),
        ("null", replaced("null")),
        ("a number", replaced("7")),
        ("no version", replaced("{}")),
        ("version of the wrong type", replaced(r#"{"version":5}"#)),
        ("bad version", replaced(r#"{"version":"xyz"}"#)),
        ("old version", replaced(r#"{"version":"00000005"}"#)),
    ]
}

/// Invalid services, limits, tenants and hosts.
fn item_cases() -> Vec<Case> {
    vec![
        ("lists that are none", with(r#""services":{},"customers":"c","hosts":true"#)),
        ("items that are none", with(r#""services":[1],"customers":[null],"hosts":["h"],"limits":[]"#)),
        (
            "service",
            with(
                r#""services":[{},{"name":""},{"name":"a\u0001","healthPath":"x"},{"name":"b","healthPath":"/a b","maxConnections":-1,"tls":"yes","protocol":1}]"#,
            ),
        ),
        (
            "limits",
            with(r#""limits":{"maxHeaderBytes":"1","maxBodyBytes":-5,"headerWaitS":-1,"idleWaitS":-0.5}"#),
        ),
        (
            "tenant",
            with(
                r#""customers":[{},{"name":"t","keys":["", "x"],"rank":-1,"ratePerS":-1,"burst":-1},{"name":"u","keys":"k"}]"#,
            ),
        ),
        ("shared key", with(r#""customers":[{"name":"t","keys":["k","k"]},{"name":"u","keys":["k"]}]"#)),
        (
            "same name",
            with(r#""services":[{"name":"s"},{"name":"s"}],"customers":[{"name":"t"},{"name":"t"}]"#),
        ),
        (
            "host",
            with(r#""hosts":[{},{"host":""},{"host":3},{"host":"h","paths":{}},{"host":"g","paths":[3]}]"#),
        ),
    ]
}

/// Invalid routes.
fn route_cases() -> Vec<Case> {
    vec![
        ("route without anything", route("")),
        (
            "route with bad values",
            route(r#""name":"","pathStart":"a","giveUpS":0,"goalS":0,"tries":0,"service":"s""#),
        ),
        (
            "route with more bad values",
            route(
                r#""name":"r","pathStart":"/a","giveUpS":601,"kind":"other","rank":"1","public":1,"service":"s""#,
            ),
        ),
        ("unknown service", route(&ROUTE.replace("\"s\"", "\"none\""))),
        (
            "unknown service of a split",
            route(&format!(r#"{ROUTE},"split":[{{"service":"none","weight":1}}]"#)),
        ),
        ("no target", route(&ROUTE.replace("\"s\"", "\"\""))),
        ("split without weights", route(&format!(r#"{ROUTE},"split":[{{"service":"s","weight":0}}]"#))),
        (
            "split with faults",
            route(&format!(r#"{ROUTE},"split":[{{}},{{"service":"s","weight":-1}},{{"service":""}}]"#)),
        ),
        (
            "same place",
            with(&format!(
                r#""services":[{{"name":"s"}}],"hosts":[{{"host":"h","paths":[{{{ROUTE}}}]}},{{"host":"H:80","paths":[{{{ROUTE}}}]}}]"#
            )),
        ),
    ]
}

/// Invalid changes.
fn change_cases() -> Vec<Case> {
    vec![
        ("change that is no object", base().change(b"3")),
        ("change with old version", base().change(br#"{"version":"00000004"}"#)),
        ("put and remove of the wrong type", changed(r#""put":[],"remove":3"#)),
        ("put out of place", changed(r#""put":{"version":"1","routes":[]}"#)),
        (
            "put of items",
            changed(r#""put":{"services":[{},3,{"name":4},{"name":"a"},{"name":"a"}],"customers":{}}"#),
        ),
        (
            "put of hosts",
            changed(r#""put":{"hosts":[{},3,{"host":4},{"host":"h","paths":3},{"host":"h","paths":[{}]}]}"#),
        ),
        ("remove of no names", changed(r#""remove":{"services":"a","customers":[3]}"#)),
        ("remove of a service in use", changed(r#""remove":{"services":["search"]}"#)),
    ]
}

#[test]
fn validation_errors_match_their_golden_texts() {
    let mut covered = BTreeSet::new();
    let mut texts = Vec::new();
    let cases = [syntax_cases(), item_cases(), route_cases(), change_cases()];
    for (name, result) in cases.into_iter().flatten() {
        let errors = result.err().unwrap_or_else(|| panic!("{name}: the document is not rejected"));
        covered.extend(errors.iter().map(variant_name));
        let paths: Vec<&str> = errors.iter().map(ValidationError::path).collect();
        texts.push((name.to_owned(), errors.to_string()));
        texts.push((format!("{name}, places"), paths.join(", ")));
    }
    assert_eq!(covered.len(), 10, "a variant has no case: {covered:?}");
    GOLDEN.same_lines("faults", &texts);
}
