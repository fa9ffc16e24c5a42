//! The operators' own file: a script in Starlark, without loads, files, clocks or chance, so it says the same
//! on every machine. It is bounded in size, steps, memory and depth: `plain` says what it may hold.
//!
//! ```python
//! address(listen = "127.0.0.1:3990")
//! versions(keep = 8, megabytes = 16)
//! log(form = "json")
//! ```

use crate::plain;
use starlark::any::ProvidesStaticType;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect, DialectTypes};
use starlark::values::none::{NoneOr, NoneType};
use starlark_syntax::syntax::module::AstModuleFields;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const BYTES_MOST: u64 = 16 * 1024;
/// The parser goes as deep as a script does: enough for one of that length that nests at every letter. What
/// is not touched costs nothing.
const STACK: usize = 256 << 20;
const STEPS_MOST: u64 = 10_000;
const HEAP_MOST: usize = 16 << 20;
const DEPTH_MOST: usize = 50;
const TOKEN_LEAST: usize = 16;

/// Where operators reach the assigner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reach {
    pub listen: SocketAddr,
    /// Where it is none, only loopback addresses are allowed.
    pub token_file: Option<PathBuf>,
}

/// How many versions are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keep {
    pub each: usize,
    pub bytes: usize,
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
    pub versions: Option<Keep>,
    pub log: LogForm,
}

/// What is wrong with the file, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}{}: {what}", file.display(), place(*at))]
pub struct BadFile {
    pub file: PathBuf,
    /// Line and column, both from 1.
    pub at: Option<(usize, usize)>,
    pub what: String,
}

fn place(at: Option<(usize, usize)>) -> String {
    at.map_or(String::new(), |(line, column)| format!(":{line}:{column}"))
}

#[derive(Default, ProvidesStaticType)]
struct Said(RefCell<Found>);

#[derive(Default)]
struct Found {
    address: Option<Reach>,
    versions: Option<Keep>,
    log: Option<LogForm>,
}

/// Fills a place that may be filled once.
fn once<T>(place: &mut Option<T>, name: &str, value: T) -> anyhow::Result<()> {
    match place.replace(value) {
        None => Ok(()),
        Some(_) => Err(anyhow::anyhow!("{name}() is called twice; write one call for it")),
    }
}

fn within(name: &str, figure: i32, from: i32, to: i32) -> anyhow::Result<usize> {
    match (from..=to).contains(&figure) {
        true => Ok(figure as usize),
        false => {
            Err(anyhow::anyhow!("{name} = {figure} is out of range; write a figure from {from} to {to}"))
        }
    }
}

fn said<'a>(eval: &'a Evaluator) -> anyhow::Result<&'a Said> {
    let said = eval.extra.and_then(|extra| extra.downcast_ref::<Said>());
    said.ok_or_else(|| anyhow::anyhow!("called outside the operators' file"))
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
        let reach = Reach { listen: place, token_file };
        once(&mut said(eval)?.0.borrow_mut().address, "address", reach)?;
        Ok(NoneType)
    }

    fn versions(
        #[starlark(require = named, default = 8)] keep: i32,
        #[starlark(require = named, default = 16)] megabytes: i32,
        eval: &mut Evaluator,
    ) -> anyhow::Result<NoneType> {
        let each = within("keep", keep, 2, 1_000)?;
        let bytes = within("megabytes", megabytes, 1, 4_096)? << 20;
        once(&mut said(eval)?.0.borrow_mut().versions, "versions", Keep { each, bytes })?;
        Ok(NoneType)
    }

    fn log(#[starlark(require = named)] form: &str, eval: &mut Evaluator) -> anyhow::Result<NoneType> {
        let form = match form {
            "text" => LogForm::Text,
            "json" => LogForm::Json,
            _ => return Err(anyhow::anyhow!("form = {form:?} is unknown; write \"text\" or \"json\"")),
        };
        once(&mut said(eval)?.0.borrow_mut().log, "log", form)?;
        Ok(NoneType)
    }
}

/// Wider than what a script may hold, so that `plain` and not the parser says what to write instead.
const DIALECT: Dialect = Dialect {
    enable_def: true,
    enable_lambda: true,
    enable_load: true,
    enable_keyword_only_arguments: true,
    enable_types: DialectTypes::Disable,
    enable_load_reexport: false,
    enable_top_level_stmt: true,
    enable_f_strings: false,
    ..Dialect::Standard
};

fn wrong(file: &Path, error: &starlark::Error) -> BadFile {
    let at = error.span().map(|span| {
        let from = span.resolve_span().begin;
        (from.line + 1, from.column + 1)
    });
    let what = format!("{}", error.without_diagnostic());
    // What a script may not use at all is told by what to write instead.
    let what = match what.lines().next().unwrap_or_default() {
        text if text.starts_with("Variable `") && text.contains("not found") => {
            format!("{text}; the file knows address(), versions() and log()")
        }
        text => text.to_string(),
    };
    BadFile { file: file.into(), at, what }
}

/// Reads a script. `file` is named in errors only.
pub fn read(file: &Path, text: &str) -> Result<Operators, BadFile> {
    let plain = |what: String| BadFile { file: file.into(), at: None, what };
    if text.len() as u64 > BYTES_MOST {
        return Err(plain(format!("{} bytes are too many; {BYTES_MOST} are the most", text.len())));
    }
    std::thread::scope(|scope| {
        let thread = std::thread::Builder::new().stack_size(STACK);
        let reading = thread.spawn_scoped(scope, || evaluate(file, text));
        let reading = reading.map_err(|e| plain(format!("can't be evaluated: {e}")))?;
        reading.join().unwrap_or_else(|_| Err(plain("can't be evaluated".into())))
    })
}

fn evaluate(file: &Path, text: &str) -> Result<Operators, BadFile> {
    let plain = |what: String| BadFile { file: file.into(), at: None, what };
    let name = file.display().to_string();
    let script = AstModule::parse(&name, text.into(), &DIALECT).map_err(|e| wrong(file, &e))?;
    plain::statement(script.statement(), DEPTH_MOST).map_err(|e| {
        let from = script.codemap().file_span(e.span).resolve_span().begin;
        BadFile { file: file.into(), at: Some((from.line + 1, from.column + 1)), what: e.what }
    })?;
    let globals: Globals = GlobalsBuilder::new().with(words).build();
    let said = Said::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&said);
        let bounds = [
            eval.set_max_tick_count(STEPS_MOST),
            eval.set_max_heap_size(HEAP_MOST),
            eval.set_max_callstack_size(DEPTH_MOST),
        ];
        bounds.into_iter().collect::<anyhow::Result<()>>().map_err(|e| plain(e.to_string()))?;
        eval.eval_module(script, &globals).map(|_| ()).map_err(|e| wrong(file, &e))
    })?;
    let Found { address, versions, log } = said.0.into_inner();
    Ok(Operators { address, versions, log: log.unwrap_or_default() })
}

pub fn load(file: &Path) -> Result<Operators, BadFile> {
    let plain = |what: String| BadFile { file: file.into(), at: None, what };
    let size = std::fs::metadata(file).map_err(|e| plain(format!("can't be read: {e}")))?;
    if !size.is_file() || size.len() > BYTES_MOST {
        return Err(plain(format!("it must be a plain file of at most {BYTES_MOST} bytes")));
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
        let plain = |what: String| BadFile { file: file.into(), at: None, what };
        let text = std::fs::read_to_string(file).map_err(|e| plain(format!("can't be read: {e}")))?;
        let token = text.lines().next().unwrap_or_default().trim();
        match token.len() {
            TOKEN_LEAST.. => Ok(Self::of(token)),
            short => Err(plain(format!("a token of {short} characters; write {TOKEN_LEAST} at least"))),
        }
    }

    /// In the same time whatever is shown: hashes of one length are compared, and all their bytes.
    pub fn is(&self, shown: &str) -> bool {
        use subtle::ConstantTimeEq;
        self.0.as_bytes().ct_eq(blake3::hash(shown.as_bytes()).as_bytes()).into()
    }
}
