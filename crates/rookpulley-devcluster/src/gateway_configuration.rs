//! The gateway configuration of a cluster: its services and routes, in two versions.

use crate::task::{HEALTH, MAX_CONNECTIONS};

pub const LETTERS: &str = "letters";
pub const PARCELS: &str = "parcels";

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    ReadOnly,
    Mutating,
    Download,
}

impl Kind {
    fn as_str(self) -> &'static str {
        match self {
            Kind::ReadOnly => "read_only",
            Kind::Mutating => "mutating",
            Kind::Download => "download",
        }
    }

    pub fn is_idempotent(self) -> bool {
        self != Kind::Mutating
    }
}

#[derive(Debug, PartialEq)]
pub struct Route {
    pub name: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    pub kind: Kind,
    /// Target services with their weights for the traffic split.
    pub targets: &'static [(&'static str, u32)],
    /// The first configuration version with this route.
    pub since: u64,
}

/// The two versions; the numbers are deliberately not consecutive.
pub const FIRST: u64 = 3;
pub const SECOND: u64 = 8;

const LETTERS_HOST: &str = "letters.example";
const PARCELS_HOST: &str = "parcels.example";

pub const ROUTES: [Route; 5] = [
    Route {
        name: "read-letters",
        host: LETTERS_HOST,
        prefix: "/read/",
        kind: Kind::ReadOnly,
        targets: &[(LETTERS, 80), (PARCELS, 20)],
        since: FIRST,
    },
    Route {
        name: "write-letters",
        host: LETTERS_HOST,
        prefix: "/write/",
        kind: Kind::Mutating,
        targets: &[(LETTERS, 1)],
        since: FIRST,
    },
    Route {
        name: "read-parcels",
        host: PARCELS_HOST,
        prefix: "/read/",
        kind: Kind::ReadOnly,
        targets: &[(PARCELS, 1)],
        since: FIRST,
    },
    Route {
        name: "fetch-parcels",
        host: PARCELS_HOST,
        prefix: "/fetch/",
        kind: Kind::Download,
        targets: &[(PARCELS, 1)],
        since: FIRST,
    },
    Route {
        name: "write-parcels",
        host: PARCELS_HOST,
        prefix: "/write/",
        kind: Kind::Mutating,
        targets: &[(PARCELS, 1)],
        since: SECOND,
    },
];

/// The configuration document of a version.
pub fn configuration(version: u64) -> String {
    let services = [LETTERS, PARCELS].map(|name| {
        format!(
            r#"{{"name":"{name}","healthCheckPath":"{HEALTH}","maxConnections":{MAX_CONNECTIONS},"protocol":"h1","tlsEnabled":false}}"#
        )
    });
    let hosts = [LETTERS_HOST, PARCELS_HOST].map(|host| {
        let rules = ROUTES
            .iter()
            .filter(|route| route.host == host && route.since <= version)
            .map(path_rule);
        format!(
            r#"{{"hostname":"{host}","pathRules":[{}]}}"#,
            rules.collect::<Vec<_>>().join(",")
        )
    });
    let limits = r#"{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}"#;
    format!(
        r#"{{"configVersion":{version},"services":[{}],"limits":{limits},"hostnames":[{}]}}"#,
        services.join(","),
        hosts.join(",")
    )
}

fn path_rule(route: &Route) -> String {
    let Route { name, prefix, .. } = route;
    let kind = route.kind.as_str();
    let targets = match route.targets {
        [(service, _)] => format!(r#""targetService":"{service}""#),
        split => {
            let splits = split.iter().map(|(service, weight)| {
                format!(r#"{{"targetService":"{service}","weight":{weight}}}"#)
            });
            format!(
                r#""trafficSplit":[{}]"#,
                splits.collect::<Vec<_>>().join(",")
            )
        }
    };
    format!(
        r#"{{"name":"{name}","pathPrefix":"{prefix}","routeKind":"{kind}","timeoutMs":2000,"targetLatencyMs":250,"priority":1,{targets},"maxAttempts":3}}"#
    )
}
