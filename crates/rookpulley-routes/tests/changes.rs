//! A configuration read after an earlier one is what it is when it is read alone and whole.

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

fn text(u: &mut Unstructured, version: u64) -> Result<String> {
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
        // Some byte is another one.
        let at = u.choose_index(text.len())?;
        text.replace_range(at..=at, u.choose(&["\"", "{", "]", ",", "0", "\\", ""])?);
    }
    Ok(text)
}

/// All that a configuration says, or all that is wrong with it.
fn said(book: std::result::Result<RouteTable, rookpulley_routes::Faults>) -> String {
    match book {
        Ok(book) => {
            let routes: Vec<&Route> = book.routes().collect();
            let aims: Vec<_> = (0..3)
                .map(|service| book.least_latency_target_ms(service))
                .collect();
            let found = HOSTS.map(|host| book.route(host, "/x/y/1").map(|route| route.timeout_ms));
            format!(
                "{} {:?} {:?} {routes:?} {aims:?} {found:?}",
                book.version, book.limits, book.services
            )
        }
        // The parser's own words show values in any order.
        Err(faults) => faults
            .to_string()
            .split(" (")
            .next()
            .unwrap_or_default()
            .into(),
    }
}

/// A name with an escape means the same, and no rule under it is read apart.
fn whole(text: &str) -> String {
    text.replace("pathRules", "pathRul\\u0065s")
}

#[test]
fn what_is_read_after_another_says_what_it_says_when_it_is_read_whole() {
    let (good, shared) = (Cell::new(0), Cell::new(0));
    run_cases(3_000, 1_024, |u| {
        let (earlier, later) = (text(u, 3)?, text(u, 4)?);
        // The other way to write it moves the places of faults that the parser tells.
        let alone = said(RouteTable::read(later.as_bytes()));
        let read_whole = said(RouteTable::read(whole(&later).as_bytes()));
        let before = RouteTable::read(earlier.as_bytes()).ok();
        let known = before.as_ref().map(|before| (earlier.as_bytes(), before));
        let after = RouteTable::read_after(later.as_bytes(), known);
        if let (Ok(after), Some(before)) = (&after, &before) {
            assert_eq!(alone, read_whole, "{later}");
            good.set(good.get() + 1);
            let same = |route: &&Route| before.routes().any(|old| std::ptr::eq(old, *route));
            shared.set(shared.get() + after.routes().filter(same).count());
        }
        assert_eq!(said(after), alone, "{later}\nafter {earlier}");
        Ok(())
    });
    let (good, shared) = (good.get(), shared.get());
    assert!(
        good > 150 && shared > 150,
        "{good} pairs, {shared} routes shared"
    );
}

#[test]
fn what_is_wrong_with_one_route_of_more_than_can_be_built_at_once_is_told_with_its_place() {
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
    let told = RouteTable::read(text.as_bytes()).unwrap_err().to_string();
    assert!(
        told.contains("hostnames[0].pathRules[31007].maxAttempts is 0"),
        "{told}"
    );
}

#[test]
fn a_change_of_one_route_of_thousands_shares_all_others_and_reads_as_many_as_the_target_has() {
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
        RouteTable::read_after(second.as_bytes(), Some((first.as_bytes(), &before))).unwrap();
    assert_eq!(after.routes().len(), 35_000);
    let anew = after.routes().filter(|route| {
        let old = before.route("h", &route.prefix);
        old.is_none_or(|old| !std::ptr::eq(old, *route))
    });
    // The one that changed, and the one that is again as all others are.
    assert_eq!(anew.count(), 2);
    assert_eq!(after.route("h", "/p11/x").unwrap().timeout_ms, 8.0);
    assert_eq!(after.route("h", "/p5/x").unwrap().timeout_ms, 900.0);
}
