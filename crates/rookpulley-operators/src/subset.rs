//! The Starlark subset that scripts may use: names, literal values and calls. Loops, comprehensions, function
//! definitions, methods and string repetition are rejected, so that a script's length bounds its time and memory.
//! The interpreter checks its own limits only periodically, and a string can double many times between two checks.

use starlark_syntax::codemap::Span;
use starlark_syntax::syntax::ast::{
    ArgumentP, AssignTargetP, AstExpr, AstLiteral, AstStmt, BinOp, ExprP, StmtP,
};

/// A construct outside the subset, with a message that says what to write instead.
pub struct Unsupported {
    pub span: Span,
    pub message: String,
}

const REMEDY: &str = "only names, literal values and calls are allowed; write the value out";

fn unsupported(span: Span, construct: &str) -> Result<(), Unsupported> {
    Err(Unsupported {
        span,
        message: format!("{construct} can't be used: {REMEDY}"),
    })
}

pub fn check_statement(stmt: &AstStmt, depth: usize) -> Result<(), Unsupported> {
    match &stmt.node {
        StmtP::Pass => Ok(()),
        StmtP::Statements(items) => items.iter().try_for_each(|s| check_statement(s, depth)),
        StmtP::Expression(value) => check_expr(value, depth),
        StmtP::Assign(assign) => match &assign.lhs.node {
            AssignTargetP::Identifier(_) => check_expr(&assign.rhs, depth),
            _ => unsupported(assign.lhs.span, "an assignment target other than a name"),
        },
        StmtP::AssignModify(..) => unsupported(stmt.span, "augmented assignment"),
        StmtP::If(..) | StmtP::IfElse(..) => unsupported(stmt.span, "a condition"),
        StmtP::For(..) | StmtP::Break | StmtP::Continue => unsupported(stmt.span, "a loop"),
        StmtP::Def(..) | StmtP::Return(_) => unsupported(stmt.span, "a function definition"),
        StmtP::Load(..) => unsupported(stmt.span, "load()"),
    }
}

/// Whether the value is a literal, or an operation on literals only.
fn is_literal(value: &AstExpr) -> bool {
    match &value.node {
        ExprP::Literal(_) => true,
        ExprP::Minus(inner) | ExprP::Plus(inner) => is_literal(inner),
        ExprP::Op(a, _, b) => is_literal(a) && is_literal(b),
        _ => false,
    }
}

fn is_numeric(value: &AstExpr) -> bool {
    match &value.node {
        ExprP::Literal(text) => matches!(text, AstLiteral::Int(_) | AstLiteral::Float(_)),
        ExprP::Minus(inner) | ExprP::Plus(inner) => is_numeric(inner),
        ExprP::Op(a, _, b) => is_numeric(a) && is_numeric(b),
        _ => false,
    }
}

fn check_expr(value: &AstExpr, depth: usize) -> Result<(), Unsupported> {
    if depth == 0 {
        return unsupported(value.span, "a value nested so deeply");
    }
    let check_inner = |v: &AstExpr| check_expr(v, depth - 1);
    match &value.node {
        ExprP::Identifier(_) | ExprP::Literal(_) => Ok(()),
        ExprP::Minus(inner) | ExprP::Plus(inner) => check_inner(inner),
        ExprP::List(items) | ExprP::Tuple(items) => items.iter().try_for_each(check_inner),
        ExprP::Dict(items) => items
            .iter()
            .try_for_each(|(k, v)| check_inner(k).and_then(|()| check_inner(v))),
        // One side must be a literal, so that a sum grows by at most the length of the script text.
        ExprP::Op(a, BinOp::Add, b) if is_literal(a) || is_literal(b) => {
            check_inner(a).and_then(|()| check_inner(b))
        }
        ExprP::Op(a, BinOp::Subtract | BinOp::Multiply | BinOp::FloorDivide, b)
            if is_numeric(a) && is_numeric(b) =>
        {
            check_inner(a).and_then(|()| check_inner(b))
        }
        ExprP::Op(..) => unsupported(value.span, "this operator"),
        ExprP::Call(callee, args) => {
            if !matches!(callee.node, ExprP::Identifier(_)) {
                return unsupported(callee.span, "a method");
            }
            args.args.iter().try_for_each(|arg| match &arg.node {
                ArgumentP::Positional(v) | ArgumentP::Named(_, v) => check_inner(v),
                ArgumentP::Args(v) | ArgumentP::KwArgs(v) => {
                    unsupported(v.span, "argument unpacking")
                }
            })
        }
        ExprP::ListComprehension(..) | ExprP::DictComprehension(..) => {
            unsupported(value.span, "a comprehension")
        }
        ExprP::Dot(..) => unsupported(value.span, "a method"),
        ExprP::Lambda(_) => unsupported(value.span, "a lambda"),
        ExprP::If(_) => unsupported(value.span, "a conditional expression"),
        ExprP::Index(_) | ExprP::Index2(_) | ExprP::Slice(..) => {
            unsupported(value.span, "an index or slice")
        }
        ExprP::Not(_) | ExprP::BitNot(_) | ExprP::FString(_) => {
            unsupported(value.span, "this expression")
        }
    }
}

const MAX_NESTING: usize = 64;
const MAX_OPERATORS: usize = 1_000;
const MAX_KEYWORDS: usize = 100;

/// Scans a long script before it is parsed and limits nesting, operators and keywords outside of strings and
/// comments, which bounds the parser's recursion. Returns the line that exceeds a limit, and a message.
pub fn scan(text: &str) -> Result<(), (usize, String)> {
    let (mut line, mut depth, mut operators, mut keywords, mut word) =
        (1, 0_usize, 0, 0, String::new());
    let (mut quote, mut escaped, mut in_comment, mut previous) = (None, false, false, ' ');
    for c in text.chars() {
        if c == '\n' {
            (line, in_comment, escaped) = (line + 1, false, false);
            // Only triple-quoted strings span lines; long scripts may not contain them.
            if quote.take().is_some() {
                return Err((
                    line - 1,
                    format!("a string over several lines can't be used: {REMEDY}"),
                ));
            }
        } else if in_comment {
            continue;
        } else if let Some(open) = quote {
            quote = if c == open && !escaped { None } else { quote };
            escaped = c == '\\' && !escaped;
            previous = '"';
            continue;
        }
        if c.is_ascii_alphabetic() || c == '_' {
            word.push(c);
            operators += usize::from(previous == '.');
        } else {
            let counted_keywords = [
                "if", "else", "and", "or", "not", "in", "lambda", "for", "def",
            ];
            keywords += usize::from(counted_keywords.contains(&word.as_str()));
            word.clear();
        }
        match c {
            '#' => in_comment = true,
            '"' | '\'' => (quote, escaped) = (Some(c), false),
            '(' | '[' | '{' => {
                depth += 1;
                operators += usize::from(matches!(previous, ')' | ']' | '}'));
            }
            ')' | ']' | '}' => depth = depth.saturating_sub(1),
            '+' | '-' | '~' | '*' | '/' | '%' | '&' | '|' | '^' | '<' | '>' | '!' => operators += 1,
            _ => {}
        }
        previous = if c.is_whitespace() { previous } else { c };
        if depth > MAX_NESTING || operators > MAX_OPERATORS || keywords > MAX_KEYWORDS {
            return Err((
                line,
                format!("so many nested values, operators or keywords can't be used: {REMEDY}"),
            ));
        }
    }
    Ok(())
}
