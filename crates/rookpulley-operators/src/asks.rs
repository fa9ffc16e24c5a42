//! What can be asked at the operators' address, and what is answered: the one place where the JSON of both
//! sides is laid down. Times are Unix milliseconds.

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// A version as written, such as `n0~18f3a2c41b7e0042~17`.
pub type VersionText = String;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The kept versions, of one table or of all.
    Versions { table: Option<u16> },
    /// Who holds what.
    Holders,
    /// The lines that differ between two kept versions.
    Diff { from: VersionText, to: VersionText },
    /// Back to an earlier version: of its own table, or of all tables as they were then.
    Rollback {
        to: VersionText,
        table: Option<u16>,
        all: bool,
    },
    /// The servers, as the file that lists them and discovery have it.
    Servers,
    /// Ends a way back: of one table, or all of them.
    Release { table: Option<u16> },
}

/// An ask on its way, and where the answer goes.
pub struct Asked {
    pub ask: Ask,
    pub answer: oneshot::Sender<Answer>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionRow {
    pub version: VersionText,
    pub table: u16,
    pub digest: String,
    pub lines: usize,
    pub issued_ms: f64,
    /// It is what its table publishes now.
    pub newest: bool,
    /// A joined dispatcher is known to hold it, or was told it last.
    pub in_use: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionList {
    pub assigner: String,
    /// The start, in 16 hexadecimal digits.
    pub start: String,
    pub versions: Vec<VersionRow>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderRow {
    pub dispatcher: u16,
    pub joined: bool,
    /// It says itself which versions it holds; otherwise its answers to marks are all that is known.
    pub speaks: bool,
    pub kinds: Vec<String>,
    pub table: u16,
    /// in step, behind, lost, diverged or unknown.
    pub judged: String,
    pub told: Option<VersionText>,
    pub confirmed: Option<VersionText>,
    pub claimed: Option<VersionText>,
    /// For so long an answer has been waited for.
    pub waits_ms: Option<f64>,
    /// An operator went back to what is published.
    pub back: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderList {
    pub assigner: String,
    pub holders: Vec<HolderRow>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiffRow {
    pub server: String,
    /// None: no line.
    pub from: Option<f64>,
    pub to: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DiffList {
    pub from: VersionText,
    pub to: VersionText,
    pub lines: Vec<DiffRow>,
    pub delta_bytes: usize,
    pub whole_bytes: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackRow {
    pub table: u16,
    /// held, refused or ended.
    pub what: String,
    pub why: Option<String>,
    /// Of the version's lines so many can be used now.
    pub usable: Option<usize>,
    pub of: Option<usize>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackList {
    pub tables: Vec<BackRow>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerRow {
    pub server: String,
    pub address: String,
    pub zone: String,
    pub machine: String,
    pub bay: u16,
    pub weight: f64,
    /// ready or draining.
    pub stage: String,
    pub started_ms: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerList {
    pub file: String,
    /// Of the list in force; None: none was taken yet, and discovery's list counts.
    pub generation: Option<u64>,
    pub age_ms: Option<f64>,
    /// Why what stands at the file's place now is not taken.
    pub not_taken: Option<String>,
    pub servers: Vec<ServerRow>,
}

/// Why an ask is not answered; `status` is that of HTTP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("{what}{}", instead.as_ref().map(|i| format!("; {i}")).unwrap_or_default())]
pub struct Refusal {
    #[serde(skip)]
    pub status: u16,
    pub what: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub instead: Option<String>,
}

impl Refusal {
    pub fn new(status: u16, what: impl Into<String>, instead: Option<&str>) -> Self {
        Self {
            status,
            what: what.into(),
            instead: instead.map(str::to_string),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Answer {
    Versions(VersionList),
    Holders(HolderList),
    Diff(DiffList),
    Back(BackList),
    Servers(ServerList),
    Refused {
        #[serde(rename = "error")]
        refusal: Refusal,
    },
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Self::Refused { refusal } => refusal.status,
            // Nothing came of it: no table changed.
            Self::Back(list) if list.tables.iter().all(|t| t.what == "refused") => 409,
            _ => 200,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RollbackBody {
    to: VersionText,
    #[serde(default)]
    table: Option<u16>,
    #[serde(default)]
    all: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ReleaseBody {
    #[serde(default)]
    table: Option<u16>,
    #[serde(default)]
    all: bool,
}

fn body<'a, T: Deserialize<'a>>(bytes: &'a [u8], shape: &str) -> Result<T, Refusal> {
    serde_json::from_slice(bytes).map_err(|e| {
        Refusal::new(
            400,
            format!("the body can't be used: {e}"),
            Some(&format!("write {shape}")),
        )
    })
}

/// What a call asks for.
pub fn read(method: &str, path: &str, query: &str, bytes: &[u8]) -> Result<Ask, Refusal> {
    let pairs: Vec<(String, String)> = form_urlencoded::parse(query.as_bytes())
        .into_owned()
        .collect();
    let find = |name: &str| {
        pairs
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.clone())
    };
    let known = |names: &[&str]| match pairs.iter().find(|(n, _)| !names.contains(&n.as_str())) {
        None => Ok(()),
        Some((n, _)) if names.is_empty() => {
            Err(Refusal::new(400, format!("{n:?} is unknown here"), None))
        }
        Some((n, _)) => {
            let instead = format!("write {}", names.join(" or "));
            Err(Refusal::new(
                400,
                format!("{n:?} is unknown here"),
                Some(&instead),
            ))
        }
    };
    let must = |name: &str| {
        let wanted = Some("write a version as /v1/versions shows it");
        find(name).ok_or_else(|| Refusal::new(400, format!("{name} is missing"), wanted))
    };
    match (method, path) {
        ("GET", "/v1/versions") => {
            known(&["table"])?;
            let number = |text: String| {
                let wrong = || {
                    Refusal::new(
                        400,
                        format!("table {text:?} is no number"),
                        Some("write table=0"),
                    )
                };
                text.parse().map_err(|_| wrong())
            };
            Ok(Ask::Versions {
                table: find("table").map(number).transpose()?,
            })
        }
        ("GET", "/v1/holders") => known(&[]).map(|()| Ask::Holders),
        ("GET", "/v1/servers") => known(&[]).map(|()| Ask::Servers),
        ("GET", "/v1/diff") => {
            known(&["from", "to"])?;
            Ok(Ask::Diff {
                from: must("from")?,
                to: must("to")?,
            })
        }
        ("POST", "/v1/rollback") => {
            known(&[])?;
            let shape =
                r#"{"to":"n0~18f3a2c41b7e0042~17"}, with "table":0 or "all":true where wanted"#;
            let told: RollbackBody = body(bytes, shape)?;
            if told.all && told.table.is_some() {
                return Err(Refusal::new(
                    400,
                    "table and all exclude each other",
                    Some("write one of them"),
                ));
            }
            Ok(Ask::Rollback {
                to: told.to,
                table: told.table,
                all: told.all,
            })
        }
        ("POST", "/v1/release") => {
            known(&[])?;
            let told: ReleaseBody = body(bytes, r#"{"table":0} or {"all":true}"#)?;
            match (told.table, told.all) {
                (Some(_), true) | (None, false) => Err(Refusal::new(
                    400,
                    "one of table and all is wanted",
                    Some("write {\"all\":true}"),
                )),
                (table, _) => Ok(Ask::Release { table }),
            }
        }
        (_, "/v1/versions" | "/v1/holders" | "/v1/diff" | "/v1/servers") => Err(Refusal::new(
            405,
            format!("{method} is not for {path}"),
            Some("use GET"),
        )),
        (_, "/v1/rollback" | "/v1/release") => Err(Refusal::new(
            405,
            format!("{method} is not for {path}"),
            Some("use POST"),
        )),
        _ => {
            let known = "there are /v1/versions, /v1/holders, /v1/diff, /v1/servers, /v1/rollback and /v1/release";
            Err(Refusal::new(404, format!("{path} is unknown"), Some(known)))
        }
    }
}
