//! The operators' file: a Starlark script without access to files, clocks or random numbers, so that it evaluates to
//! the same settings on every machine. Size, steps, memory and nesting are limited; `subset` lists what is allowed.
//!
//! ```python
//! address(listen = "127.0.0.1:3990")
//! versions(keep = 8, megabytes = 16)
//! log(form = "json")
//! ```

pub use crate::script::FileError;
use crate::script::{self, ScriptSettings, collector, set_once};
use rookpulley_versions::RetentionLimits;
use starlark::any::ProvidesStaticType;
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::none::{NoneOr, NoneType};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const MAX_BYTES: usize = 16 * 1024;
const MIN_TOKEN_LENGTH: usize = 16;

/// Where the operators' API listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    pub listen: SocketAddr,
    /// Without a token file, only loopback addresses are allowed.
    pub token_file: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

/// The settings of the file; whatever it does not name is disabled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorSettings {
    pub address: Option<ListenSettings>,
    pub versions: Option<RetentionLimits>,
    /// The file that lists the servers.
    pub servers: Option<PathBuf>,
    pub log: LogFormat,
}

#[derive(Default, ProvidesStaticType)]
struct Collected(RefCell<Settings>);

#[derive(Default)]
struct Settings {
    address: Option<ListenSettings>,
    versions: Option<RetentionLimits>,
    servers: Option<PathBuf>,
    log: Option<LogFormat>,
}

fn in_range(name: &str, value: i32, min: i32, max: i32) -> anyhow::Result<usize> {
    match (min..=max).contains(&value) {
        true => Ok(value as usize),
        false => Err(anyhow::anyhow!(
            "{name} = {value} is out of range; write a number from {min} to {max}"
        )),
    }
}

#[starlark_module]
fn functions(builder: &mut GlobalsBuilder) {
    fn address(
        #[starlark(require = named)] listen: &str,
        #[starlark(require = named, default = NoneOr::None)] token_file: NoneOr<&str>,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let socket_address: SocketAddr = listen.parse().map_err(|_| {
            anyhow::anyhow!(
                "listen = {listen:?} is not an address; write one such as \"127.0.0.1:3990\" or \"[::1]:3990\""
            )
        })?;
        let token_file = token_file.into_option().map(PathBuf::from);
        if !socket_address.ip().is_loopback() && token_file.is_none() {
            return Err(anyhow::anyhow!(
                "{listen} can be reached from other machines; write token_file = \"/path\" beside it, or a loopback address"
            ));
        }
        let endpoint = ListenSettings {
            listen: socket_address,
            token_file,
        };
        set_once(
            &mut collector::<Collected>(eval)?.0.borrow_mut().address,
            "address",
            endpoint,
        )?;
        Ok(NoneType)
    }

    fn versions(
        #[starlark(require = named, default = RetentionLimits::DEFAULT.per_table as i32)] keep: i32,
        #[starlark(require = named, default = (RetentionLimits::DEFAULT.bytes >> 20) as i32)]
        megabytes: i32,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let per_table = in_range("keep", keep, 2, 1_000)?;
        let bytes = in_range("megabytes", megabytes, 1, 4_096)? << 20;
        set_once(
            &mut collector::<Collected>(eval)?.0.borrow_mut().versions,
            "versions",
            RetentionLimits { per_table, bytes },
        )?;
        Ok(NoneType)
    }

    fn servers(
        #[starlark(require = named)] file: &str,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        if file.is_empty() {
            return Err(anyhow::anyhow!(
                "file is empty; write the path of the file that lists the servers"
            ));
        }
        set_once(
            &mut collector::<Collected>(eval)?.0.borrow_mut().servers,
            "servers",
            PathBuf::from(file),
        )?;
        Ok(NoneType)
    }

    fn log(
        #[starlark(require = named)] form: &str,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let form = match form {
            "text" => LogFormat::Text,
            "json" => LogFormat::Json,
            _ => {
                return Err(anyhow::anyhow!(
                    "form = {form:?} is unknown; write \"text\" or \"json\""
                ));
            }
        };
        set_once(
            &mut collector::<Collected>(eval)?.0.borrow_mut().log,
            "log",
            form,
        )?;
        Ok(NoneType)
    }
}

const SCRIPT_SETTINGS: ScriptSettings = ScriptSettings {
    functions,
    function_names: "address(), versions(), servers() and log()",
    max_bytes: MAX_BYTES,
    max_ticks: 10_000,
};

/// Reads a script. `file` is used only in error messages.
pub fn read(file: &Path, text: &str) -> Result<OperatorSettings, FileError> {
    let said: Collected = script::run(file, text, &SCRIPT_SETTINGS)?;
    let Settings {
        address,
        versions,
        servers,
        log,
    } = said.0.into_inner();
    Ok(OperatorSettings {
        address,
        versions,
        servers,
        log: log.unwrap_or_default(),
    })
}

pub fn load(file: &Path) -> Result<OperatorSettings, FileError> {
    let without_position = |what: String| FileError {
        file: file.into(),
        at: None,
        what,
    };
    let size =
        std::fs::metadata(file).map_err(|e| without_position(format!("can't be read: {e}")))?;
    if !size.is_file() || size.len() > MAX_BYTES as u64 {
        return Err(without_position(format!(
            "it must be a regular file of at most {MAX_BYTES} bytes"
        )));
    }
    let text = std::fs::read_to_string(file)
        .map_err(|e| without_position(format!("can't be read: {e}")))?;
    read(file, &text)
}

/// The bearer token that callers must present. Only its hash is kept.
pub struct Token(blake3::Hash);

impl Token {
    pub fn from_text(text: &str) -> Self {
        Self(blake3::hash(text.as_bytes()))
    }

    /// Reads the token from the first line of a file; it must have at least 16 characters.
    pub fn load(file: &Path) -> Result<Self, FileError> {
        let without_position = |what: String| FileError {
            file: file.into(),
            at: None,
            what,
        };
        let text = std::fs::read_to_string(file)
            .map_err(|e| without_position(format!("can't be read: {e}")))?;
        let token = text.lines().next().unwrap_or_default().trim();
        match token.len() {
            MIN_TOKEN_LENGTH.. => Ok(Self::from_text(token)),
            length => Err(without_position(format!(
                "the token has {length} characters; write at least {MIN_TOKEN_LENGTH}"
            ))),
        }
    }

    /// Compares hashes in constant time, so that timing reveals nothing about the token.
    pub fn matches(&self, candidate: &str) -> bool {
        use subtle::ConstantTimeEq;
        self.0
            .as_bytes()
            .ct_eq(blake3::hash(candidate.as_bytes()).as_bytes())
            .into()
    }
}
