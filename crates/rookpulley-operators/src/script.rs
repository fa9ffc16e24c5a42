//! Runs Starlark scripts limited to the constructs that `subset` allows, with bounds on size, nesting and calls. The
//! functions that a script calls record their arguments in a value of the caller's type.

use crate::subset;
use starlark::any::AnyLifetime;
use starlark::codemap::FileSpan;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect, DialectTypes};
use starlark::values::none::NoneType;
use starlark_syntax::syntax::module::AstModuleFields;
use std::path::{Path, PathBuf};

const MAX_HEAP_BYTES: usize = 256 << 20;
const MAX_DEPTH: usize = 50;
/// The stack of the thread that parses. The parser recurses once per nesting level: this is enough for a script of
/// `SCAN_ABOVE_BYTES` that nests at every character. Longer scripts are scanned for nesting first.
const STACK_BYTES: usize = 256 << 20;
const SCAN_ABOVE_BYTES: usize = 16 * 1024;

/// The functions that a kind of script may call, and its limits.
#[derive(Clone, Copy)]
pub struct ScriptSettings {
    pub functions: fn(&mut GlobalsBuilder),
    /// The names of the functions, for error messages.
    pub function_names: &'static str,
    pub max_bytes: usize,
    pub max_ticks: u64,
}

/// The value in which the script's calls record their arguments.
pub fn collector<'s, 'e, S: AnyLifetime<'e>>(
    eval: &'s Evaluator<'_, '_, 'e>,
) -> anyhow::Result<&'s S> {
    let said = eval.extra.and_then(|extra| extra.downcast_ref::<S>());
    said.ok_or_else(|| anyhow::anyhow!("called outside its script"))
}

/// Sets a value that a script may set only once.
pub fn set_once<T>(slot: &mut Option<T>, name: &str, value: T) -> anyhow::Result<()> {
    match slot.replace(value) {
        None => Ok(()),
        Some(_) => Err(anyhow::anyhow!(
            "{name}() is called twice; write one call for it"
        )),
    }
}

/// The line and column where a span begins, both counted from 1.
pub fn line_and_column(span: &FileSpan) -> (usize, usize) {
    let from = span.resolve_span().begin;
    (from.line + 1, from.column + 1)
}

/// An error in a file, with its position where known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}{}: {what}", file.display(), format_position(*at))]
pub struct FileError {
    pub file: PathBuf,
    /// Line and column, both counted from 1.
    pub at: Option<(usize, usize)>,
    pub what: String,
}

fn format_position(at: Option<(usize, usize)>) -> String {
    at.map_or(String::new(), |(line, column)| format!(":{line}:{column}"))
}

/// Accepts more than scripts may use, so that `subset` can reject a construct with advice on what to write instead.
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

fn script_error(file: &Path, error: &starlark::Error, function_names: &str) -> FileError {
    let at = error.span().map(line_and_column);
    let what = format!("{}", error.without_diagnostic());
    // For an unknown name, list the functions that exist.
    let what = match what.lines().next().unwrap_or_default() {
        text if text.starts_with("Variable `") && text.contains("not found") => {
            format!("{text}; the file knows {function_names}")
        }
        text => text.to_string(),
    };
    FileError {
        file: file.into(),
        at,
        what,
    }
}

/// Runs a script and returns what its calls recorded. `file` is used only in error messages.
pub fn run<S>(file: &Path, text: &str, settings: &ScriptSettings) -> Result<S, FileError>
where
    S: Default + Send + for<'e> AnyLifetime<'e>,
{
    let without_position = |what: String| FileError {
        file: file.into(),
        at: None,
        what,
    };
    if text.len() > settings.max_bytes {
        return Err(without_position(format!(
            "{} bytes are too many; {} are the most",
            text.len(),
            settings.max_bytes
        )));
    }
    if text.len() > SCAN_ABOVE_BYTES {
        subset::scan(text).map_err(|(line, what)| FileError {
            file: file.into(),
            at: Some((line, 1)),
            what,
        })?;
    }
    std::thread::scope(|scope| {
        let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
        let worker = thread.spawn_scoped(scope, || evaluate(file, text, settings));
        let worker = worker.map_err(|e| without_position(format!("can't be evaluated: {e}")))?;
        worker
            .join()
            .unwrap_or_else(|_| Err(without_position("can't be evaluated".into())))
    })
}

fn constants(builder: &mut GlobalsBuilder) {
    builder.set("True", true);
    builder.set("False", false);
    builder.set("None", NoneType);
}

fn evaluate<S>(file: &Path, text: &str, settings: &ScriptSettings) -> Result<S, FileError>
where
    S: Default + for<'e> AnyLifetime<'e>,
{
    let without_position = |what: String| FileError {
        file: file.into(),
        at: None,
        what,
    };
    let (name, function_names) = (file.display().to_string(), settings.function_names);
    let script = AstModule::parse(&name, text.into(), &DIALECT)
        .map_err(|e| script_error(file, &e, function_names))?;
    subset::check_statement(script.statement(), MAX_DEPTH).map_err(|e| {
        let at = Some(line_and_column(&script.codemap().file_span(e.span)));
        FileError {
            file: file.into(),
            at,
            what: e.message,
        }
    })?;
    let globals: Globals = GlobalsBuilder::new()
        .with(constants)
        .with(settings.functions)
        .build();
    let said = S::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&said);
        let limits = [
            eval.set_max_tick_count(settings.max_ticks),
            eval.set_max_heap_size(MAX_HEAP_BYTES),
            eval.set_max_callstack_size(MAX_DEPTH),
        ];
        limits
            .into_iter()
            .collect::<anyhow::Result<()>>()
            .map_err(|e| without_position(e.to_string()))?;
        eval.eval_module(script, &globals)
            .map(|_| ())
            .map_err(|e| script_error(file, &e, function_names))
    })?;
    Ok(said)
}
