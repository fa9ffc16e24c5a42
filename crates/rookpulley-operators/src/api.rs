//! The requests and responses of the operators' API. The server and its clients share these types, which define the
//! JSON. Times are Unix milliseconds.

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// A version as written, such as `n0~18f3a2c41b7e0042~17`.
pub type VersionText = String;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiRequest {
    /// Lists the retained versions of one table or of all.
    Versions { table: Option<u16> },
    /// Lists the version that each dispatcher holds for each of its tables.
    Holders,
    /// Lists the lines that differ between two retained versions.
    Diff { from: VersionText, to: VersionText },
    /// Rolls a table back to an earlier version, or all tables to their state at the time of that version.
    Rollback {
        to: VersionText,
        table: Option<u16>,
        all: bool,
    },
    /// Lists the servers known from the server file and from discovery.
    Servers,
    /// Ends the rollback of one table or of all tables.
    Release { table: Option<u16> },
}

/// A pending request and the channel for its response.
pub struct PendingRequest {
    pub ask: ApiRequest,
    pub answer: oneshot::Sender<ApiResponse>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionRow {
    pub version: VersionText,
    pub table: u16,
    pub digest: String,
    pub lines: usize,
    pub issued_ms: f64,
    /// Whether its table publishes this version now.
    pub newest: bool,
    /// Whether a joined dispatcher holds it, or was last sent it.
    pub in_use: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionList {
    pub assigner: String,
    /// The id of the assigner's start, as 16 hexadecimal digits.
    pub start: String,
    pub versions: Vec<VersionRow>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderRow {
    pub dispatcher: u16,
    pub joined: bool,
    /// Whether it reports the versions it holds; otherwise only its acknowledgements are known.
    pub speaks: bool,
    pub kinds: Vec<String>,
    pub table: u16,
    /// The synchronization state: in step, behind, lost, diverged or unknown.
    pub judged: String,
    pub told: Option<VersionText>,
    pub confirmed: Option<VersionText>,
    pub claimed: Option<VersionText>,
    /// How long an acknowledgement has been pending.
    pub waits_ms: Option<f64>,
    /// Whether an operator rolled the table back.
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
    /// The weight in each version; `None` where it has no line for the server.
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
pub struct RollbackRow {
    pub table: u16,
    /// The outcome: held, refused or ended.
    pub what: String,
    pub why: Option<String>,
    /// How many of the version's lines are usable now.
    pub usable: Option<usize>,
    pub of: Option<usize>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollbackList {
    pub tables: Vec<RollbackRow>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerRow {
    pub server: String,
    pub address: String,
    pub zone: String,
    pub machine: String,
    pub bay: u16,
    pub weight: f64,
    /// The lifecycle stage: ready or draining.
    pub stage: String,
    pub started_ms: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerList {
    pub file: String,
    /// The generation of the active server file; `None` while no file has been accepted and discovery's list applies.
    pub generation: Option<u64>,
    pub age_ms: Option<f64>,
    /// Why the current content of the file was rejected.
    pub not_taken: Option<String>,
    pub servers: Vec<ServerRow>,
}

/// An error response; `status` is the HTTP status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[error("{what}{}", instead.as_ref().map(|i| format!("; {i}")).unwrap_or_default())]
pub struct ApiError {
    #[serde(skip)]
    pub status: u16,
    pub what: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub instead: Option<String>,
}

impl ApiError {
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
pub enum ApiResponse {
    Versions(VersionList),
    Holders(HolderList),
    Diff(DiffList),
    Back(RollbackList),
    Servers(ServerList),
    Refused {
        #[serde(rename = "error")]
        refusal: ApiError,
    },
}

impl ApiResponse {
    pub fn status(&self) -> u16 {
        match self {
            Self::Refused { refusal } => refusal.status,
            // Every table was refused: nothing changed.
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

fn parse_body<'a, T: Deserialize<'a>>(bytes: &'a [u8], example: &str) -> Result<T, ApiError> {
    serde_json::from_slice(bytes).map_err(|e| {
        ApiError::new(
            400,
            format!("the body can't be used: {e}"),
            Some(&format!("write {example}")),
        )
    })
}

/// Parses the method, path, query and body of a call.
pub fn parse(method: &str, path: &str, query: &str, bytes: &[u8]) -> Result<ApiRequest, ApiError> {
    let params: Vec<(String, String)> = form_urlencoded::parse(query.as_bytes())
        .into_owned()
        .collect();
    let param = |name: &str| {
        params
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.clone())
    };
    let check_names =
        |names: &[&str]| match params.iter().find(|(n, _)| !names.contains(&n.as_str())) {
            None => Ok(()),
            Some((n, _)) if names.is_empty() => {
                Err(ApiError::new(400, format!("{n:?} is unknown here"), None))
            }
            Some((n, _)) => {
                let instead = format!("write {}", names.join(" or "));
                Err(ApiError::new(
                    400,
                    format!("{n:?} is unknown here"),
                    Some(&instead),
                ))
            }
        };
    let required = |name: &str| {
        let remedy = Some("write a version as /v1/versions shows it");
        param(name).ok_or_else(|| ApiError::new(400, format!("{name} is missing"), remedy))
    };
    match (method, path) {
        ("GET", "/v1/versions") => {
            check_names(&["table"])?;
            let parse_table = |text: String| {
                let invalid = || {
                    ApiError::new(
                        400,
                        format!("table {text:?} is no number"),
                        Some("write table=0"),
                    )
                };
                text.parse().map_err(|_| invalid())
            };
            Ok(ApiRequest::Versions {
                table: param("table").map(parse_table).transpose()?,
            })
        }
        ("GET", "/v1/holders") => check_names(&[]).map(|()| ApiRequest::Holders),
        ("GET", "/v1/servers") => check_names(&[]).map(|()| ApiRequest::Servers),
        ("GET", "/v1/diff") => {
            check_names(&["from", "to"])?;
            Ok(ApiRequest::Diff {
                from: required("from")?,
                to: required("to")?,
            })
        }
        ("POST", "/v1/rollback") => {
            check_names(&[])?;
            let example =
                r#"{"to":"n0~18f3a2c41b7e0042~17"}, with "table":0 or "all":true where wanted"#;
            let request: RollbackBody = parse_body(bytes, example)?;
            if request.all && request.table.is_some() {
                return Err(ApiError::new(
                    400,
                    "table and all exclude each other",
                    Some("write one of them"),
                ));
            }
            Ok(ApiRequest::Rollback {
                to: request.to,
                table: request.table,
                all: request.all,
            })
        }
        ("POST", "/v1/release") => {
            check_names(&[])?;
            let request: ReleaseBody = parse_body(bytes, r#"{"table":0} or {"all":true}"#)?;
            match (request.table, request.all) {
                (Some(_), true) | (None, false) => Err(ApiError::new(
                    400,
                    "one of table and all is wanted",
                    Some("write {\"all\":true}"),
                )),
                (table, _) => Ok(ApiRequest::Release { table }),
            }
        }
        (_, "/v1/versions" | "/v1/holders" | "/v1/diff" | "/v1/servers") => Err(ApiError::new(
            405,
            format!("{method} is not for {path}"),
            Some("use GET"),
        )),
        (_, "/v1/rollback" | "/v1/release") => Err(ApiError::new(
            405,
            format!("{method} is not for {path}"),
            Some("use POST"),
        )),
        _ => {
            let paths = "there are /v1/versions, /v1/holders, /v1/diff, /v1/servers, /v1/rollback and /v1/release";
            Err(ApiError::new(
                404,
                format!("{path} is unknown"),
                Some(paths),
            ))
        }
    }
}
