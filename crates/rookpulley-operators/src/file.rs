//! The operators' own file: a script in Starlark, without loads, files, clocks or chance, so it says the same
//! on every machine. It is bounded in size, steps, memory and depth: `plain` says what it may hold.
//!
//! ```python
//! address(listen = "127.0.0.1:3990")
//! versions(keep = 8, megabytes = 16)
//! log(form = "json")
//! ```

pub use crate::script::BadFile;
use crate::script::{self, Vocabulary, once, said};
use rookpulley_versions::RetentionLimits as Kept;
use starlark::any::ProvidesStaticType;
use starlark::environment::GlobalsBuilder;
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::values::none::{NoneOr, NoneType};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const BYTES_MOST: usize = 16 * 1024;
const TOKEN_LEAST: usize = 16;

/// Where operators reach the assigner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reach {
    pub listen: SocketAddr,
    /// Where it is none, only loopback addresses are allowed.
    pub token_file: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogForm {
    #[default]
    Text,
    Json,
}

/// All that the file says; what it does not name is off.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operators {
    pub address: Option<Reach>,
    pub versions: Option<Kept>,
    /// The file that lists the servers.
    pub servers: Option<PathBuf>,
    pub log: LogForm,
}

#[derive(Default, ProvidesStaticType)]
struct Said(RefCell<Found>);

#[derive(Default)]
struct Found {
    address: Option<Reach>,
    versions: Option<Kept>,
    servers: Option<PathBuf>,
    log: Option<LogForm>,
}

fn within(name: &str, figure: i32, from: i32, to: i32) -> anyhow::Result<usize> {
    match (from..=to).contains(&figure) {
        true => Ok(figure as usize),
        false => Err(anyhow::anyhow!(
            "{name} = {figure} is out of range; write a figure from {from} to {to}"
        )),
    }
}

#[starlark_module]
fn words(builder: &mut GlobalsBuilder) {
    fn address(
        #[starlark(require = named)] listen: &str,
        #[starlark(require = named, default = NoneOr::None)] token_file: NoneOr<&str>,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let place: SocketAddr = listen.parse().map_err(|_| {
            anyhow::anyhow!(
                "listen = {listen:?} is no address; write one such as \"127.0.0.1:3990\" or \"[::1]:3990\""
            )
        })?;
        let token_file = token_file.into_option().map(PathBuf::from);
        if !place.ip().is_loopback() && token_file.is_none() {
            return Err(anyhow::anyhow!(
                "{listen} can be reached from other machines; write token_file = \"/path\" beside it, or a loopback address"
            ));
        }
        let reach = Reach {
            listen: place,
            token_file,
        };
        once(
            &mut said::<Said>(eval)?.0.borrow_mut().address,
            "address",
            reach,
        )?;
        Ok(NoneType)
    }

    fn versions(
        #[starlark(require = named, default = Kept::DEFAULT.per_table as i32)] keep: i32,
        #[starlark(require = named, default = (Kept::DEFAULT.bytes >> 20) as i32)] megabytes: i32,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let per_table = within("keep", keep, 2, 1_000)?;
        let bytes = within("megabytes", megabytes, 1, 4_096)? << 20;
        once(
            &mut said::<Said>(eval)?.0.borrow_mut().versions,
            "versions",
            Kept { per_table, bytes },
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
        once(
            &mut said::<Said>(eval)?.0.borrow_mut().servers,
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
            "text" => LogForm::Text,
            "json" => LogForm::Json,
            _ => {
                return Err(anyhow::anyhow!(
                    "form = {form:?} is unknown; write \"text\" or \"json\""
                ));
            }
        };
        once(&mut said::<Said>(eval)?.0.borrow_mut().log, "log", form)?;
        Ok(NoneType)
    }
}

const VOCABULARY: Vocabulary = Vocabulary {
    words,
    known: "address(), versions(), servers() and log()",
    bytes: BYTES_MOST,
    calls: 10_000,
};

/// Reads a script. `file` is named in errors only.
pub fn read(file: &Path, text: &str) -> Result<Operators, BadFile> {
    let said: Said = script::run(file, text, &VOCABULARY)?;
    let Found {
        address,
        versions,
        servers,
        log,
    } = said.0.into_inner();
    Ok(Operators {
        address,
        versions,
        servers,
        log: log.unwrap_or_default(),
    })
}

pub fn load(file: &Path) -> Result<Operators, BadFile> {
    let plain = |what: String| BadFile {
        file: file.into(),
        at: None,
        what,
    };
    let size = std::fs::metadata(file).map_err(|e| plain(format!("can't be read: {e}")))?;
    if !size.is_file() || size.len() > BYTES_MOST as u64 {
        return Err(plain(format!(
            "it must be a plain file of at most {BYTES_MOST} bytes"
        )));
    }
    let text = std::fs::read_to_string(file).map_err(|e| plain(format!("can't be read: {e}")))?;
    read(file, &text)
}

/// What whoever calls must show. Only a hash is kept.
pub struct Token(blake3::Hash);

impl Token {
    pub fn of(text: &str) -> Self {
        Self(blake3::hash(text.as_bytes()))
    }

    /// The first line of a file, of 16 characters at least.
    pub fn load(file: &Path) -> Result<Self, BadFile> {
        let plain = |what: String| BadFile {
            file: file.into(),
            at: None,
            what,
        };
        let text =
            std::fs::read_to_string(file).map_err(|e| plain(format!("can't be read: {e}")))?;
        let token = text.lines().next().unwrap_or_default().trim();
        match token.len() {
            TOKEN_LEAST.. => Ok(Self::of(token)),
            short => Err(plain(format!(
                "a token of {short} characters; write {TOKEN_LEAST} at least"
            ))),
        }
    }

    /// In the same time whatever is shown: hashes of one length are compared, and all their bytes.
    pub fn is(&self, shown: &str) -> bool {
        use subtle::ConstantTimeEq;
        self.0
            .as_bytes()
            .ct_eq(blake3::hash(shown.as_bytes()).as_bytes())
            .into()
    }
}
