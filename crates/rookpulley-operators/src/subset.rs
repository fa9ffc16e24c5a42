//! What the operators' file may hold: names, plain values and calls. No loop, no comprehension, no function of
//! its own, no method and nothing that multiplies text: so the work and the memory that a script takes are
//! bounded by its length, whatever it says. (The interpreter's own limits are looked at now and then only, and
//! a few doublings of a text pass between two looks.)

use starlark_syntax::codemap::Span;
use starlark_syntax::syntax::ast::{
    ArgumentP, AssignTargetP, AstExpr, AstLiteral, AstStmt, BinOp, ExprP, StmtP,
};

/// What may not stand there, and what to write instead.
pub struct NotPlain {
    pub span: Span,
    pub what: String,
}

const WRITE: &str = "this file holds names, values and calls alone; write the value out";

fn not_plain(span: Span, what: &str) -> Result<(), NotPlain> {
    Err(NotPlain {
        span,
        what: format!("{what} can't be used: {WRITE}"),
    })
}

pub fn statement(stmt: &AstStmt, depth: usize) -> Result<(), NotPlain> {
    match &stmt.node {
        StmtP::Pass => Ok(()),
        StmtP::Statements(all) => all.iter().try_for_each(|s| statement(s, depth)),
        StmtP::Expression(value) => expr(value, depth),
        StmtP::Assign(assign) => match &assign.lhs.node {
            AssignTargetP::Identifier(_) => expr(&assign.rhs, depth),
            _ => not_plain(assign.lhs.span, "a target other than a name"),
        },
        StmtP::AssignModify(..) => not_plain(stmt.span, "a change of a name"),
        StmtP::If(..) | StmtP::IfElse(..) => not_plain(stmt.span, "a condition"),
        StmtP::For(..) | StmtP::Break | StmtP::Continue => not_plain(stmt.span, "a loop"),
        StmtP::Def(..) | StmtP::Return(_) => not_plain(stmt.span, "a function of its own"),
        StmtP::Load(..) => not_plain(stmt.span, "another file"),
    }
}

/// Literals, and sums of them.
fn literal(value: &AstExpr) -> bool {
    match &value.node {
        ExprP::Literal(_) => true,
        ExprP::Minus(inner) | ExprP::Plus(inner) => literal(inner),
        ExprP::Op(a, _, b) => literal(a) && literal(b),
        _ => false,
    }
}

fn number(value: &AstExpr) -> bool {
    match &value.node {
        ExprP::Literal(text) => matches!(text, AstLiteral::Int(_) | AstLiteral::Float(_)),
        ExprP::Minus(inner) | ExprP::Plus(inner) => number(inner),
        ExprP::Op(a, _, b) => number(a) && number(b),
        _ => false,
    }
}

fn expr(value: &AstExpr, depth: usize) -> Result<(), NotPlain> {
    if depth == 0 {
        return not_plain(value.span, "a value so deep");
    }
    let deeper = |v: &AstExpr| expr(v, depth - 1);
    match &value.node {
        ExprP::Identifier(_) | ExprP::Literal(_) => Ok(()),
        ExprP::Minus(inner) | ExprP::Plus(inner) => deeper(inner),
        ExprP::List(all) | ExprP::Tuple(all) => all.iter().try_for_each(deeper),
        ExprP::Dict(all) => all
            .iter()
            .try_for_each(|(k, v)| deeper(k).and_then(|()| deeper(v))),
        // One side is written out: a text grows by no more than what stands here.
        ExprP::Op(a, BinOp::Add, b) if literal(a) || literal(b) => {
            deeper(a).and_then(|()| deeper(b))
        }
        ExprP::Op(a, BinOp::Subtract | BinOp::Multiply | BinOp::FloorDivide, b)
            if number(a) && number(b) =>
        {
            deeper(a).and_then(|()| deeper(b))
        }
        ExprP::Op(..) => not_plain(value.span, "this operator"),
        ExprP::Call(what, args) => {
            if !matches!(what.node, ExprP::Identifier(_)) {
                return not_plain(what.span, "a method");
            }
            args.args.iter().try_for_each(|arg| match &arg.node {
                ArgumentP::Positional(v) | ArgumentP::Named(_, v) => deeper(v),
                ArgumentP::Args(v) | ArgumentP::KwArgs(v) => {
                    not_plain(v.span, "a list of arguments")
                }
            })
        }
        ExprP::ListComprehension(..) | ExprP::DictComprehension(..) => {
            not_plain(value.span, "a comprehension")
        }
        ExprP::Dot(..) => not_plain(value.span, "a method"),
        ExprP::Lambda(_) => not_plain(value.span, "a function of its own"),
        ExprP::If(_) => not_plain(value.span, "a condition"),
        ExprP::Index(_) | ExprP::Index2(_) | ExprP::Slice(..) => {
            not_plain(value.span, "a part of a value")
        }
        ExprP::Not(_) | ExprP::BitNot(_) | ExprP::FString(_) => not_plain(value.span, "this form"),
    }
}

const NESTS_MOST: usize = 64;
const OPERATORS_MOST: usize = 1_000;
const WORDS_MOST: usize = 100;

/// Looks a long script over before it is parsed: what stands outside of texts and comments may nest a little and
/// hold a few operators. Gives the line where it does not.
pub fn look_over(text: &str) -> Result<(), (usize, String)> {
    let (mut line, mut depth, mut operators, mut words, mut word) =
        (1, 0_usize, 0, 0, String::new());
    let (mut quote, mut escaped, mut comment, mut last) = (None, false, false, ' ');
    for c in text.chars() {
        if c == '\n' {
            (line, comment, escaped) = (line + 1, false, false);
            // A text goes on over lines in triple quotes only, which no list of servers needs.
            if quote.take().is_some() {
                return Err((
                    line - 1,
                    format!("a text that goes on over lines can't be used: {WRITE}"),
                ));
            }
        } else if comment {
            continue;
        } else if let Some(open) = quote {
            quote = if c == open && !escaped { None } else { quote };
            escaped = c == '\\' && !escaped;
            last = '"';
            continue;
        }
        if c.is_ascii_alphabetic() || c == '_' {
            word.push(c);
            operators += usize::from(last == '.');
        } else {
            let counted = [
                "if", "else", "and", "or", "not", "in", "lambda", "for", "def",
            ];
            words += usize::from(counted.contains(&word.as_str()));
            word.clear();
        }
        match c {
            '#' => comment = true,
            '"' | '\'' => (quote, escaped) = (Some(c), false),
            '(' | '[' | '{' => {
                depth += 1;
                operators += usize::from(matches!(last, ')' | ']' | '}'));
            }
            ')' | ']' | '}' => depth = depth.saturating_sub(1),
            '+' | '-' | '~' | '*' | '/' | '%' | '&' | '|' | '^' | '<' | '>' | '!' => operators += 1,
            _ => {}
        }
        last = if c.is_whitespace() { last } else { c };
        if depth > NESTS_MOST || operators > OPERATORS_MOST || words > WORDS_MOST {
            return Err((
                line,
                format!("so much that is worked out can't be used: {WRITE}"),
            ));
        }
    }
    Ok(())
}
