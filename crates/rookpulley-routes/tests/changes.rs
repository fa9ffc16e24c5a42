//! Incremental parsing gives the same result as parsing the complete configuration.

use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_routes::{Route, RouteTable};
use rookpulley_samples::run_cases;
use std::cell::Cell;
use std::fmt::Write;

const HOSTS: [&str; 3] = ["a.example", "B.example", "c.example"];
const RULES: [&str; 8] = [
    r#"{"pathPrefix":"/x/","routeKind":"read_only","timeoutMs":700,"targetService":"one","maxAttempts":1}"#,
    r#"{"pathPrefix":"/x/","routeKind":"read_only","timeoutMs":800,"targetService":"two","maxAttempts":1}"#,
    r#"{"pathPrefix":"/x/y/","routeKind":"mutating","timeoutMs":700,"targetService":"two","maxAttempts":2}"#,
    r#"{"pathPrefix":"/z/","routeKind":"download","timeoutMs":9,"trafficSplit":[{"targetService":"one","weight":1},{"targetService":"two","weight":3}],"maxAttempts":2}"#,
    r#"{"pathPrefix":"/q/","routeKind":"read_only","timeoutMs":700,"targetService":"\"}]","maxAttempts":1}"#,
    r#"{"pathPrefix":"/w/","name":"a \\\" { [ name","routeKind":"read_only","timeoutMs":7,"targetService":"one","maxAttempts":1}"#,
    r#"{"":0}"#,
    "7",
];
const SERVICES: [&str; 3] = [
    r#"{"name":"one"},{"name":"two"}"#,
    r#"{"name":"two"},{"name":"one"}"#,
    r#"{"name":"one"}"#,
];

fn random_configuration(u: &mut Unstructured, version: u64) -> Result<String> {
    let services = if u.ratio(4, 5)? {
        SERVICES[0]
    } else {
        SERVICES[u.choose_index(3)?]
    };
    let mut text =
        format!("{{\"configVersion\":{version},\"services\":[{services}],\"hostnames\":[");
    let mut comma = "";
    for host in HOSTS {
        _ = write!(text, "{comma}{{\"hostname\":\"{host}\",\"pathRules\":[");
        comma = "";
        for rule in RULES.into_iter().take(if u.ratio(1, 6)? { 8 } else { 4 }) {
            if u.ratio(1, 3)? {
                text += comma;
                text += rule;
                comma = ", ";
            }
        }
        text += "]}";
        comma = ",";
    }
    text += "]}";
    if u.ratio(1, 5)? {
        // Corrupts one byte.
        let at = u.choose_index(text.len())?;
        text.replace_range(at..=at, u.choose(&["\"", "{", "]", ",", "0", "\\", ""])?);
    }
    Ok(text)
}

/// The contents of a configuration, or its faults.
fn describe(table: std::result::Result<RouteTable, rookpulley_routes::Faults>) -> String {
    match table {
        Ok(table) => {
            let routes: Vec<&Route> = table.routes().collect();
            let latency_targets: Vec<_> = (0..3)
                .map(|service| table.min_latency_target_ms(service))
                .collect();
            let found = HOSTS.map(|host| table.route(host, "/x/y/1").map(|route| route.timeout_ms));
            format!(
                "{} {:?} {:?} {routes:?} {latency_targets:?} {found:?}",
                table.version, table.limits, table.services
            )
        }
        // The parser's message shows object fields in arbitrary order.
        Err(faults) => faults
            .to_string()
            .split(" (")
            .next()
            .unwrap_or_default()
            .into(),
    }
}

/// An equivalent text whose escaped field name prevents the rules from being split off.
fn without_splitting(text: &str) -> String {
    text.replace("pathRules", "pathRul\\u0065s")
}

#[test]
fn incremental_parsing_agrees_with_complete_parsing() {
    let (good, shared) = (Cell::new(0), Cell::new(0));
    run_cases(3_000, 1_024, |u| {
        let (earlier, later) = (random_configuration(u, 3)?, random_configuration(u, 4)?);
        // Compared only if valid: the escaped name shifts the positions of syntax errors.
        let alone = describe(RouteTable::read(later.as_bytes()));
        let unsplit = describe(RouteTable::read(without_splitting(&later).as_bytes()));
        let before = RouteTable::read(earlier.as_bytes()).ok();
        let known = before.as_ref().map(|before| (earlier.as_bytes(), before));
        let after = RouteTable::read_incremental(later.as_bytes(), known);
        if let (Ok(after), Some(before)) = (&after, &before) {
            assert_eq!(alone, unsplit, "{later}");
            good.set(good.get() + 1);
            let same = |route: &&Route| before.routes().any(|old| std::ptr::eq(old, *route));
            shared.set(shared.get() + after.routes().filter(same).count());
        }
        assert_eq!(describe(after), alone, "{later}\nafter {earlier}");
        Ok(())
    });
    let (good, shared) = (good.get(), shared.get());
    assert!(
        good > 150 && shared > 150,
        "{good} pairs, {shared} routes shared"
    );
}

#[test]
fn fault_in_a_configuration_with_too_many_values_is_reported_with_its_path() {
    let rule = |at: usize| {
        let attempts = if at == 31_007 { 0 } else { 2 };
        format!(
            "{{\"name\":\"r{at}\",\"pathPrefix\":\"/p{at}/\",\"routeKind\":\"read_only\",\"timeoutMs\":9,\
             \"targetLatencyMs\":2,\"priority\":2,\"targetService\":\"s\",\"maxAttempts\":{attempts}}}"
        )
    };
    let rules: Vec<String> = (0..35_000).map(rule).collect();
    let text = format!(
        "{{\"configVersion\":7,\"services\":[{{\"name\":\"s\"}}],\"hostnames\":[{{\"hostname\":\"h\",\"pathRules\":[{}]}}]}}",
        rules.join(",")
    );
    let message = RouteTable::read(text.as_bytes()).unwrap_err().to_string();
    assert!(
        message.contains("hostnames[0].pathRules[31007].maxAttempts is 0"),
        "{message}"
    );
}

#[test]
fn changing_one_of_35000_routes_shares_all_others() {
    let body = |version: usize, changed: usize| {
        let mut text = format!(
            "{{\"configVersion\":{version},\"services\":[{{\"name\":\"s\"}}],\"hostnames\":[{{\"hostname\":\"h\",\"pathRules\":["
        );
        for route in 0..35_000 {
            let comma = if route > 0 { "," } else { "" };
            let timeout_ms = if route == changed { version } else { 900 };
            _ = write!(
                text,
                "{comma}{{\"name\":\"r{route}\",\"pathPrefix\":\"/p{route}/\",\"routeKind\":\"read_only\",\"timeoutMs\":{timeout_ms},\
                 \"targetLatencyMs\":250,\"priority\":2,\"targetService\":\"s\",\"maxAttempts\":2}}"
            );
        }
        text + "]}]}"
    };
    let (first, second) = (body(7, 5), body(8, 11));
    let before = RouteTable::read(first.as_bytes()).unwrap();
    let after =
        RouteTable::read_incremental(second.as_bytes(), Some((first.as_bytes(), &before))).unwrap();
    assert_eq!(after.routes().len(), 35_000);
    let rebuilt = after.routes().filter(|route| {
        let old = before.route("h", &route.prefix);
        old.is_none_or(|old| !std::ptr::eq(old, *route))
    });
    // The route changed by the second version and the one that was changed in the first.
    assert_eq!(rebuilt.count(), 2);
    assert_eq!(after.route("h", "/p11/x").unwrap().timeout_ms, 8.0);
    assert_eq!(after.route("h", "/p5/x").unwrap().timeout_ms, 900.0);
}
