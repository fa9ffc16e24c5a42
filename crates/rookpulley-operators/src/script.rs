//! Scripts in Starlark that hold names, plain values and calls (`plain` says why no more), bounded in size, depth
//! and calls. What the calls say is gathered in a value of the caller's.

use crate::plain;
use starlark::any::AnyLifetime;
use starlark::codemap::FileSpan;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect, DialectTypes};
use starlark::values::none::NoneType;
use starlark_syntax::syntax::module::AstModuleFields;
use std::path::{Path, PathBuf};

const HEAP_MOST: usize = 256 << 20;
const DEPTH_MOST: usize = 50;
/// The parser goes as deep as a script nests: enough for one of 16 KiB that does so at every letter, and longer
/// ones are looked over first. What is not touched costs nothing.
const STACK: usize = 256 << 20;
const LOOKED_OVER: usize = 16 * 1024;

/// What a kind of script may say, and how much of it.
#[derive(Clone, Copy)]
pub struct Vocabulary {
    pub words: fn(&mut GlobalsBuilder),
    /// The calls there are, as errors name them.
    pub known: &'static str,
    pub bytes: usize,
    pub calls: u64,
}

/// What the calls of this script have said so far.
pub fn said<'s, 'e, S: AnyLifetime<'e>>(eval: &'s Evaluator<'_, '_, 'e>) -> anyhow::Result<&'s S> {
    let said = eval.extra.and_then(|extra| extra.downcast_ref::<S>());
    said.ok_or_else(|| anyhow::anyhow!("called outside its script"))
}

/// Fills a place that may be filled once.
pub fn once<T>(place: &mut Option<T>, name: &str, value: T) -> anyhow::Result<()> {
    match place.replace(value) {
        None => Ok(()),
        Some(_) => Err(anyhow::anyhow!(
            "{name}() is called twice; write one call for it"
        )),
    }
}

/// Line and column of a span's begin, both from 1.
pub fn place_of(span: &FileSpan) -> (usize, usize) {
    let from = span.resolve_span().begin;
    (from.line + 1, from.column + 1)
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

fn wrong(file: &Path, error: &starlark::Error, known: &str) -> BadFile {
    let at = error.span().map(place_of);
    let what = format!("{}", error.without_diagnostic());
    // What a script may not use at all is told by what to write instead.
    let what = match what.lines().next().unwrap_or_default() {
        text if text.starts_with("Variable `") && text.contains("not found") => {
            format!("{text}; the file knows {known}")
        }
        text => text.to_string(),
    };
    BadFile {
        file: file.into(),
        at,
        what,
    }
}

/// Runs a script and gives what its calls said. `file` is named in errors only.
pub fn run<S>(file: &Path, text: &str, vocabulary: &Vocabulary) -> Result<S, BadFile>
where
    S: Default + Send + for<'e> AnyLifetime<'e>,
{
    let plain = |what: String| BadFile {
        file: file.into(),
        at: None,
        what,
    };
    if text.len() > vocabulary.bytes {
        return Err(plain(format!(
            "{} bytes are too many; {} are the most",
            text.len(),
            vocabulary.bytes
        )));
    }
    if text.len() > LOOKED_OVER {
        plain::look_over(text).map_err(|(line, what)| BadFile {
            file: file.into(),
            at: Some((line, 1)),
            what,
        })?;
    }
    std::thread::scope(|scope| {
        let thread = std::thread::Builder::new().stack_size(STACK);
        let reading = thread.spawn_scoped(scope, || evaluate(file, text, vocabulary));
        let reading = reading.map_err(|e| plain(format!("can't be evaluated: {e}")))?;
        reading
            .join()
            .unwrap_or_else(|_| Err(plain("can't be evaluated".into())))
    })
}

fn constants(builder: &mut GlobalsBuilder) {
    builder.set("True", true);
    builder.set("False", false);
    builder.set("None", NoneType);
}

fn evaluate<S>(file: &Path, text: &str, vocabulary: &Vocabulary) -> Result<S, BadFile>
where
    S: Default + for<'e> AnyLifetime<'e>,
{
    let plain = |what: String| BadFile {
        file: file.into(),
        at: None,
        what,
    };
    let (name, known) = (file.display().to_string(), vocabulary.known);
    let script =
        AstModule::parse(&name, text.into(), &DIALECT).map_err(|e| wrong(file, &e, known))?;
    plain::statement(script.statement(), DEPTH_MOST).map_err(|e| {
        let at = Some(place_of(&script.codemap().file_span(e.span)));
        BadFile {
            file: file.into(),
            at,
            what: e.what,
        }
    })?;
    let globals: Globals = GlobalsBuilder::new()
        .with(constants)
        .with(vocabulary.words)
        .build();
    let said = S::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&said);
        let bounds = [
            eval.set_max_tick_count(vocabulary.calls),
            eval.set_max_heap_size(HEAP_MOST),
            eval.set_max_callstack_size(DEPTH_MOST),
        ];
        bounds
            .into_iter()
            .collect::<anyhow::Result<()>>()
            .map_err(|e| plain(e.to_string()))?;
        eval.eval_module(script, &globals)
            .map(|_| ())
            .map_err(|e| wrong(file, &e, known))
    })?;
    Ok(said)
}
