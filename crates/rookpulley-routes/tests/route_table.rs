//! Parsing, validation and lookup, including truncated and corrupted configurations.

use arbtest::arbitrary::{Result, Unstructured};
use rookpulley_routes::{Faults, Limits, RouteKind, RouteTable};
use rookpulley_samples::run_cases;

/// A small configuration that uses every field.
const COMPLETE: &str = r#"{
  "configVersion": 12,
  "services": [
    {"name": "stamps", "healthCheckPath": "/well", "maxConnections": 40, "protocol": "h1"},
    {"name": "parcels", "maxConnections": 60, "tlsEnabled": false}
  ],
  "limits": {"maxHeaderBytes": 9000, "maxBodyBytes": 70000, "headerTimeoutMs": 1000, "idleTimeoutMs": 2000},
  "hostnames": [
    {"hostname": "Post.example", "pathRules": [
      {"name": "sell", "pathPrefix": "/sell/", "routeKind": "mutating", "timeoutMs": 900, "targetLatencyMs": 90.5,
       "priority": 1, "targetService": "stamps", "maxAttempts": 2},
      {"name": "track", "pathPrefix": "/track/", "routeKind": "read_only", "timeoutMs": 800.5,
       "trafficSplit": [{"targetService": "parcels", "weight": 3}, {"targetService": "stamps", "weight": 1}],
       "maxAttempts": 3}
    ]},
    {"hostname": "depot.example", "pathRules": [
      {"pathPrefix": "/", "routeKind": "download", "timeoutMs": 700, "targetService": "parcels", "maxAttempts": 1}
    ]}
  ]
}"#;

fn read(text: &str) -> std::result::Result<RouteTable, Faults> {
    RouteTable::read(text.as_bytes())
}

#[test]
fn complete_configuration_is_parsed_and_omitted_fields_have_defaults() {
    let table = read(COMPLETE).unwrap();
    assert_eq!(table.version, 12);
    let limits = Limits {
        max_header_bytes: 9_000,
        max_body_bytes: 70_000,
        header_timeout_ms: 1_000,
        idle_timeout_ms: 2_000,
    };
    assert_eq!(table.limits, limits);
    assert_eq!(
        (
            table.services[0].health_path.as_str(),
            table.services[0].max_connections
        ),
        ("/well", 40)
    );
    assert_eq!(
        (
            table.services[1].health_path.as_str(),
            table.services[1].max_connections
        ),
        ("/health", 60)
    );

    let sell = table.route("POST.example", "/sell/stamps/7").unwrap();
    assert_eq!(
        (sell.name.as_str(), sell.kind, sell.max_attempts),
        ("sell", RouteKind::Mutating, 2)
    );
    assert_eq!(
        (sell.timeout_ms, sell.latency_target_ms, sell.priority),
        (900.0, 90.5, 1)
    );
    assert_eq!(sell.targets, [(0, 1.0)]);
    let track = table.route("post.example", "/track/").unwrap();
    assert_eq!(
        (track.timeout_ms, track.latency_target_ms, track.priority),
        (800.5, 800.5, 0)
    );
    assert_eq!(track.targets, [(1, 3.0), (0, 1.0)]);
    let depot = table.route("depot.example", "/anything").unwrap();
    assert_eq!(
        (depot.name.as_str(), depot.kind),
        ("depot.example/", RouteKind::Download)
    );

    let unlimited = read(&COMPLETE.replace("\"timeoutMs\": 900", "\"timeoutMs\": 1e300")).unwrap();
    assert_eq!(
        unlimited
            .route("post.example", "/sell/")
            .unwrap()
            .timeout_ms,
        86_400_000.0
    );

    let empty = read(r#"{"configVersion": 1, "services": [], "hostnames": []}"#).unwrap();
    assert_eq!(
        empty.limits,
        Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 67_108_864,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000
        }
    );
}

#[test]
fn longest_prefix_lookup_agrees_with_a_linear_search() {
    const SEGMENTS: [&str; 5] = ["", "a", "ab", "b", "-"];
    fn path(u: &mut Unstructured) -> Result<String> {
        let segments: Vec<&str> = (0..u.int_in_range(0..=4)?)
            .map(|_| u.choose(&SEGMENTS).copied())
            .collect::<Result<_>>()?;
        Ok(format!(
            "/{}",
            segments
                .iter()
                .map(|segment| format!("{segment}/"))
                .collect::<String>()
        ))
    }
    run_cases(300, 4_096, |u| {
        let (hosts, mut seen, mut entries) =
            (["x.example", "Y.example", "x"], Vec::new(), Vec::new());
        for host in hosts {
            let mut rules = Vec::new();
            for _ in 0..u.int_in_range(0..=12)? {
                let prefix = path(u)?;
                if seen.contains(&(host, prefix.clone())) {
                    continue;
                }
                let kind = u.choose(&["read_only", "mutating", "download"])?;
                rules.push(format!(
                    r#"{{"name":"r{}","pathPrefix":"{prefix}","routeKind":"{kind}","timeoutMs":5,"targetService":"s","maxAttempts":1}}"#,
                    seen.len()
                ));
                seen.push((host, prefix));
            }
            entries.push(format!(
                r#"{{"hostname":"{host}","pathRules":[{}]}}"#,
                rules.join(",")
            ));
        }
        let text = format!(
            r#"{{"hostnames":[{}],"services":[{{"name":"s"}}],"configVersion":3}}"#,
            entries.join(", ")
        );
        let table = read(&text).unwrap();
        assert_eq!(table.routes().len(), seen.len());
        for _ in 0..40 {
            let host = *u.choose(&["x.example", "X.EXAMPLE", "y.example", "x", "z"])?;
            let end = u.choose(&["", "a", "abc", "*"])?;
            let path = format!("{}{end}", path(u)?);
            let matches = |(own, prefix): &&(&str, String)| {
                own.eq_ignore_ascii_case(host) && path.starts_with(prefix.as_str())
            };
            let longest = seen
                .iter()
                .filter(matches)
                .map(|(_, prefix)| prefix)
                .max_by_key(|prefix| prefix.len());
            let found = table.route(host, &path);
            assert_eq!(found.map(|route| &route.prefix), longest, "{host}{path}");
            assert!(found.is_none_or(|route| route.host.eq_ignore_ascii_case(host)));
        }
        for invalid in ["", "*", "a/", "ab/a/"] {
            assert!(table.route("x", invalid).is_none());
        }
        Ok(())
    });
}

#[test]
fn truncated_or_trailing_input_is_rejected() {
    for cut in 0..COMPLETE.len() {
        let faults = read(&COMPLETE[..cut]).unwrap_err();
        assert!(
            faults.faults[0].place.starts_with("line "),
            "{cut}: {faults}"
        );
    }
    for more in ["}", "{}", "0", ",", "\u{0}"] {
        assert!(read(&format!("{COMPLETE}{more}")).is_err());
    }
    assert!(read(&format!(" {COMPLETE}\r\n\t ")).is_ok());
    assert!(
        RouteTable::read(
            b"{\"configVersion\": 1, \"services\": [], \"hostnames\": [], \"x\": \"\xff\"}"
        )
        .is_err()
    );
}

#[test]
fn corrupted_configuration_never_panics_and_accepted_ones_satisfy_the_invariants() {
    run_cases(3_000, 256, |u| {
        let mut bytes = COMPLETE.as_bytes().to_vec();
        for _ in 0..u.int_in_range(1..=6)? {
            let at = u.choose_index(bytes.len())?;
            match u.int_in_range(0..=4)? {
                0 => bytes[at] = u.arbitrary()?,
                1 => bytes[at] = *u.choose(b"0123456789-.eE\"[]{},:nul ")?,
                2 => _ = bytes.remove(at),
                3 => bytes.insert(at, *u.choose(b"0123456789-.eE\"[]{},:nul ")?),
                _ => {
                    let end = bytes.len().min(at + u.int_in_range(0..=80)?);
                    let piece = bytes[at..end].to_vec();
                    let to = u.choose_index(bytes.len())?;
                    bytes.splice(to..to, piece);
                }
            }
        }
        let table = match RouteTable::read(&bytes) {
            Ok(table) => table,
            Err(faults) => {
                assert!(!faults.faults.is_empty() && faults.to_string().len() < 8_000);
                return Ok(());
            }
        };
        assert!((1..1 << 53).contains(&table.version));
        for route in table.routes() {
            assert!(
                route.prefix.starts_with('/')
                    && route.prefix.ends_with('/')
                    && !route.host.is_empty()
            );
            assert!(
                route.max_attempts > 0
                    && route.timeout_ms > 0.0
                    && route.timeout_ms <= 86_400_000.0
            );
            assert!(
                route.latency_target_ms > 0.0
                    && route.targets.iter().all(|(_, weight)| *weight >= 0.0)
            );
            let selected = route
                .select_target(u.int_in_range(0..=999)? as f64 / 1_000.0)
                .unwrap();
            assert!(table.service(selected).is_some());
            assert_eq!(table.route(&route.host, &route.prefix), Some(route));
        }
        Ok(())
    });
}

#[test]
fn each_invalid_field_is_rejected_with_its_path_and_the_expected_value() {
    const SELL: &str = "hostnames[0].pathRules[0]";
    const TRACK: &str = "hostnames[0].pathRules[1]";
    let cases = [
        (
            "\"configVersion\": 12,",
            "",
            "configVersion".to_string(),
            "a whole number",
        ),
        (
            "Version\": 12",
            "Version\": 0",
            "configVersion".into(),
            "a whole number",
        ),
        (
            "Version\": 12",
            "Version\": -3",
            "configVersion".into(),
            "a whole number",
        ),
        (
            "Version\": 12",
            "Version\": 1.5",
            "configVersion".into(),
            "a whole number",
        ),
        (
            "Version\": 12",
            "Version\": \"12\"",
            "configVersion".into(),
            "a whole number",
        ),
        (
            "Version\": 12",
            "Version\": 9007199254740993",
            "configVersion".into(),
            "a whole number",
        ),
        (
            "Version\": 12",
            "Version\": 1e400",
            "configVersion".into(),
            "a whole number",
        ),
        (
            "\"targetService\": \"stamps\", \"max",
            "\"targetService\": \"coins\", \"max",
            format!("{SELL}.targetService"),
            "under services",
        ),
        (
            "\"targetService\": \"stamps\", \"max",
            "\"targetService\": null, \"max",
            format!("{SELL}.targetService"),
            "trafficSplit",
        ),
        (
            "\"targetService\": \"stamps\", \"max",
            "\"targetService\": 4, \"max",
            format!("{SELL}.targetService"),
            "a text",
        ),
        (
            "\"targetService\": \"stamps\", \"max",
            "\"trafficSplit\": [], \"max",
            format!("{SELL}.targetService"),
            "trafficSplit",
        ),
        (
            "\"targetService\": \"stamps\", \"max",
            "\"trafficSplit\": {}, \"max",
            format!("{SELL}.trafficSplit"),
            "a list",
        ),
        (
            "\"trafficSplit\"",
            "\"targetService\": \"stamps\", \"trafficSplit\"",
            format!("{TRACK}.trafficSplit"),
            "one of the two",
        ),
        (
            "\"weight\": 3}, {\"targetService\": \"stamps\", \"weight\": 1",
            "\"weight\": 0}, {\"targetService\": \"stamps\", \"weight\": 0",
            format!("{TRACK}.trafficSplit"),
            "a sum above 0",
        ),
        (
            "\"weight\": 3",
            "\"weight\": -3",
            format!("{TRACK}.trafficSplit[0].weight"),
            "from 0 on",
        ),
        (
            "\"weight\": 3",
            "\"weight\": 1e999",
            format!("{TRACK}.trafficSplit[0].weight"),
            "from 0 on",
        ),
        (
            "\"weight\": 3}, {\"targetService\": \"stamps\", \"weight\": 1",
            "\"weight\": 1e308}, {\"targetService\": \"stamps\", \"weight\": 1e308",
            format!("{TRACK}.trafficSplit"),
            "a sum above 0",
        ),
        (
            "{\"targetService\": \"parcels\", \"weight\"",
            "{\"targetService\": \"coins\", \"weight\"",
            format!("{TRACK}.trafficSplit[0].targetService"),
            "under services",
        ),
        (
            "\"maxAttempts\": 2",
            "\"maxAttempts\": 0",
            format!("{SELL}.maxAttempts"),
            "at least 1",
        ),
        (
            "\"maxAttempts\": 2",
            "\"more\": 0",
            format!("{SELL}.maxAttempts"),
            "at least 1",
        ),
        (
            "\"maxAttempts\": 2",
            "\"maxAttempts\": 1.5",
            format!("{SELL}.maxAttempts"),
            "at least 1",
        ),
        (
            "\"timeoutMs\": 900",
            "\"timeoutMs\": 0",
            format!("{SELL}.timeoutMs"),
            "above 0",
        ),
        (
            "\"timeoutMs\": 900",
            "\"timeoutMs\": -1",
            format!("{SELL}.timeoutMs"),
            "above 0",
        ),
        (
            "\"timeoutMs\": 900, ",
            "",
            format!("{SELL}.timeoutMs"),
            "above 0",
        ),
        (
            "\"priority\": 1",
            "\"priority\": true",
            format!("{SELL}.priority"),
            "a whole number",
        ),
        (
            "\"mutating\"",
            "\"sometimes\"",
            format!("{SELL}.routeKind"),
            "\"read_only\"",
        ),
        (
            "\"Post.example\"",
            "\"\"",
            "hostnames[0].hostname".into(),
            "the host",
        ),
        (
            "\"hostname\": \"Post.example\", ",
            "",
            "hostnames[0].hostname".into(),
            "the host",
        ),
        (
            "\"/sell/\"",
            "\"/sell\"",
            format!("{SELL}.pathPrefix"),
            "begins and ends",
        ),
        (
            "\"/sell/\"",
            "\"sell/\"",
            format!("{SELL}.pathPrefix"),
            "begins and ends",
        ),
        (
            "\"/track/\"",
            "\"/sell/\"",
            format!("{TRACK}.pathPrefix"),
            "once",
        ),
        (
            "\"depot.example\", \"pathRules\": [\n      {\"pathPrefix\": \"/\"",
            "\"POST.example\", \"pathRules\": [\n      {\"pathPrefix\": \"/track/\"",
            "hostnames[1].pathRules[0].pathPrefix".into(),
            "once",
        ),
        (
            "\"name\": \"parcels\"",
            "\"name\": \"stamps\"",
            "services[1].name".into(),
            "once",
        ),
        (
            "{\"name\": \"parcels\"",
            "{\"title\": \"parcels\"",
            "services[1].name".into(),
            "name",
        ),
        ("\"services\"", "\"servants\"", "services".into(), "a list"),
        ("\"hostnames\"", "\"hosts\"", "hostnames".into(), "a list"),
        (
            "\"maxHeaderBytes\": 9000",
            "\"maxHeaderBytes\": \"many\"",
            "limits.maxHeaderBytes".into(),
            "a whole number",
        ),
        (
            "\"configVersion\": 12",
            "\"configVersion\": 12 34",
            "line 2, column 23".into(),
            "one JSON object",
        ),
    ];
    for (from, to, place, expected) in cases {
        assert!(COMPLETE.contains(from), "{from}");
        let faults = read(&COMPLETE.replacen(from, to, 1)).expect_err(to);
        let fault = faults.faults.iter().find(|fault| fault.place == place);
        let fault = fault.unwrap_or_else(|| panic!("{to}: no fault at {place} in: {faults}"));
        assert!(fault.instead.contains(expected), "{to}: {fault}");
    }
    for other in ["[]", "12", "null", "\"x\""] {
        assert_eq!(
            read(other).unwrap_err().faults[0].place,
            "the configuration"
        );
    }
}

#[test]
fn all_faults_are_reported_up_to_a_limit() {
    let text = COMPLETE
        .replace("\"timeoutMs\"", "\"timeout\"")
        .replace("12", "0");
    assert_eq!(read(&text).unwrap_err().faults.len(), 4);
    let names = vec!["{}"; 100].join(",");
    let faults = read(&format!(
        r#"{{"configVersion":1,"services":[{names}],"hostnames":[]}}"#
    ))
    .unwrap_err();
    assert_eq!((faults.faults.len(), faults.omitted), (16, 84));
    assert!(faults.to_string().ends_with("And 84 more"));
}

#[test]
fn oversized_input_is_rejected_before_parsing() {
    let within =
        |inner: &str| format!(r#"{{"configVersion":1,"services":[],"hostnames":[],"x":{inner}}}"#);
    let nested = |levels: usize| within(&format!("{}{}", "[".repeat(levels), "]".repeat(levels)));
    assert!(read(&nested(63)).is_ok());
    assert!(
        read(&nested(64)).unwrap_err().faults[0]
            .found
            .contains("deep")
    );
    assert!(
        read(&"[".repeat(1 << 20)).unwrap_err().faults[0]
            .found
            .contains("deep")
    );
    assert!(
        read(&within(&format!("[0{}]", ",0".repeat(300_000))))
            .unwrap_err()
            .faults[0]
            .found
            .contains("too many")
    );
    assert!(
        read(&" ".repeat(9 << 20)).unwrap_err().faults[0]
            .found
            .contains("bytes long")
    );
    // Brackets, commas and quotes in strings are not counted.
    assert!(read(&within(&format!("\"{}\"", r#"[\"{,"#.repeat(300_000)))).is_ok());
}

#[test]
fn services_are_selected_by_weight_and_never_at_weight_0() {
    run_cases(200, 512, |u| {
        let weights: Vec<u32> = (0..u.int_in_range(1..=5)?)
            .map(|_| u.int_in_range(0..=9))
            .collect::<Result<_>>()?;
        let sum: u32 = weights.iter().sum();
        let each = |(at, weight): (usize, &u32)| {
            (
                format!(r#"{{"name":"s{at}"}}"#),
                format!(r#"{{"targetService":"s{at}","weight":{weight}}}"#),
            )
        };
        let (services, shares): (Vec<String>, Vec<String>) =
            weights.iter().enumerate().map(each).unzip();
        let rule = format!(
            r#"{{"pathPrefix":"/","routeKind":"read_only","timeoutMs":1,"maxAttempts":1,"trafficSplit":[{}]}}"#,
            shares.join(",")
        );
        let text = format!(
            r#"{{"configVersion":1,"services":[{}],"hostnames":[{{"hostname":"h","pathRules":[{rule}]}}]}}"#,
            services.join(",")
        );
        let table = read(&text);
        assert_eq!(table.is_ok(), sum > 0);
        let Ok(table) = table else { return Ok(()) };
        let route = table.route("h", "/x").unwrap();
        let mut selected = vec![0; weights.len()];
        for step in 0..sum {
            selected[route
                .select_target((f64::from(step) + 0.5) / f64::from(sum))
                .unwrap()] += 1;
        }
        assert_eq!(selected, weights);
        for unit in [0.0, 1.0, -1.0, 2.0, f64::NAN] {
            assert!(weights[route.select_target(unit).unwrap()] > 0);
        }
        Ok(())
    });
}
