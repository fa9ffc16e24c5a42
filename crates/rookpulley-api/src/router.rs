//! A router: a tree of path segments, whose nodes hold the methods of the routes that end there.

/// Why a router could not be built.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum RouterError {
    #[error("`{0}` is not a valid pattern")]
    #[diagnostic(help("write `METHOD /segment/{{}}`: a method, a space, a path"))]
    InvalidPattern(String),
    #[error("`{0}` captures more than one segment, or part of a segment")]
    #[diagnostic(help("write `{{}}` at most once, as a whole segment"))]
    InvalidCapture(String),
    #[error("`{0}` is registered twice")]
    #[diagnostic(help("register each method and path once"))]
    Duplicate(String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Match<T> {
    /// The value of the route, and the captured segment with its percent encoding decoded once.
    Found(T, String),
    /// The path has routes, but none for this method.
    WrongMethod,
    NotFound,
}

#[derive(Clone, Debug)]
struct Node<T> {
    literals: Vec<(String, Node<T>)>,
    capture: Option<Box<Node<T>>>,
    methods: Vec<(String, T)>,
}

impl<T> Node<T> {
    fn new() -> Node<T> {
        Node {
            literals: Vec::new(),
            capture: None,
            methods: Vec::new(),
        }
    }

    fn child(&mut self, segment: &str) -> &mut Node<T> {
        if segment == "{}" {
            return self.capture.get_or_insert_with(|| Box::new(Node::new()));
        }
        let index = self
            .literals
            .iter()
            .position(|(literal, _)| literal == segment)
            .unwrap_or(self.literals.len());
        if index == self.literals.len() {
            self.literals.push((segment.to_owned(), Node::new()));
        }
        &mut self.literals[index].1
    }
}

/// Maps patterns such as `PUT /rookpulley/instances/{}` to values. A literal segment takes precedence over a capture.
#[derive(Clone, Debug)]
pub struct Router<T> {
    root: Node<T>,
}

impl<T: Copy> Router<T> {
    pub fn new(patterns: &[(&str, T)]) -> Result<Router<T>, RouterError> {
        let mut root = Node::new();
        for (pattern, value) in patterns {
            let parts = pattern
                .split_once(" /")
                .filter(|(method, _)| !method.is_empty());
            let Some((method, path)) = parts else {
                return Err(RouterError::InvalidPattern((*pattern).to_owned()));
            };
            let captures = path
                .split('/')
                .filter(|segment| segment.contains(['{', '}']));
            if captures.clone().count() > 1 || captures.clone().any(|segment| segment != "{}") {
                return Err(RouterError::InvalidCapture((*pattern).to_owned()));
            }
            let node = path
                .split('/')
                .fold(&mut root, |node, segment| node.child(segment));
            if node.methods.iter().any(|(name, _)| name == method) {
                return Err(RouterError::Duplicate((*pattern).to_owned()));
            }
            node.methods.push((method.to_owned(), *value));
        }
        Ok(Router { root })
    }

    pub fn lookup(&self, method: &str, path: &str) -> Match<T> {
        let (mut found, mut path_known) = (None, false);
        self.visit(path, &mut |node, captured| {
            path_known = true;
            let route = node.methods.iter().find(|(name, _)| name == method);
            found =
                route.map(|(_, value)| (*value, captured.map(str::to_owned).unwrap_or_default()));
            found.is_some()
        });
        match found {
            Some((value, captured)) => Match::Found(value, captured),
            None if path_known => Match::WrongMethod,
            None => Match::NotFound,
        }
    }

    /// The methods of a path, formatted for the `Allow` header.
    pub fn allowed(&self, path: &str) -> String {
        let mut methods: Vec<&str> = Vec::new();
        self.visit(path, &mut |node, _| {
            methods.extend(node.methods.iter().map(|(method, _)| method.as_str()));
            false
        });
        methods.sort_unstable();
        methods.dedup();
        methods.join(", ")
    }

    /// Visits the nodes that match a path, literals before captures, until `visitor` returns true.
    fn visit<'a>(&'a self, path: &str, visitor: &mut dyn FnMut(&'a Node<T>, Option<&str>) -> bool) {
        if let Some(rest) = path.strip_prefix('/') {
            walk(&self.root, rest.split('/'), None, visitor);
        }
    }
}

fn walk<'a, T>(
    node: &'a Node<T>,
    mut rest: std::str::Split<'_, char>,
    captured: Option<&str>,
    visitor: &mut dyn FnMut(&'a Node<T>, Option<&str>) -> bool,
) -> bool {
    let Some(segment) = rest.next() else {
        return !node.methods.is_empty() && visitor(node, captured);
    };
    if let Some((_, next)) = node.literals.iter().find(|(literal, _)| literal == segment)
        && walk(next, rest.clone(), captured, visitor)
    {
        return true;
    }
    match &node.capture {
        Some(next) => {
            decode(segment).is_some_and(|captured| walk(next, rest, Some(&captured), visitor))
        }
        None => false,
    }
}

/// Decodes the percent encoding of a segment once. None: the segment is empty, or invalid.
fn decode(segment: &str) -> Option<String> {
    if segment.is_empty() {
        return None;
    }
    let mut bytes = Vec::with_capacity(segment.len());
    let mut rest = segment.bytes();
    let digit = |byte: Option<u8>| {
        char::from(byte?)
            .to_digit(16)
            .and_then(|digit| u8::try_from(digit).ok())
    };
    while let Some(byte) = rest.next() {
        bytes.push(if byte == b'%' {
            digit(rest.next())? << 4 | digit(rest.next())?
        } else {
            byte
        });
    }
    String::from_utf8(bytes).ok()
}

/// The first value of a query parameter, without percent decoding.
pub fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| match pair.split_once('=') {
            Some((key, value)) => (key == name).then_some(value),
            None => (pair == name).then_some(""),
        })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Matches a path against a single pattern, segment by segment, and returns what it captures.
    fn captures(pattern: &str, path: &str) -> Option<Vec<String>> {
        let (pattern, path): (Vec<_>, Vec<_>) =
            (pattern.split('/').collect(), path.split('/').collect());
        let matches = |(literal, segment): (&&str, &&str)| match *literal {
            "{}" => decode(segment).map(Some),
            literal => (literal == *segment).then_some(None),
        };
        let same_length = pattern.len() == path.len();
        same_length
            .then(|| {
                pattern
                    .iter()
                    .zip(&path)
                    .map(matches)
                    .collect::<Option<Vec<_>>>()
            })
            .flatten()
            .map(|captured| {
                let captured = captured.into_iter().flatten().collect::<Vec<_>>();
                if captured.is_empty() {
                    vec![String::new()]
                } else {
                    captured
                }
            })
    }

    #[test]
    fn lookup_agrees_with_a_linear_search_of_all_patterns() {
        let property = |u: &mut arbtest::arbitrary::Unstructured| {
            let mut patterns: Vec<String> = Vec::new();
            for _ in 0..u.int_in_range(1..=12)? {
                let mut path = String::new();
                let mut captured = false;
                for _ in 0..u.int_in_range(1..=4)? {
                    let literal = *u.choose(&["a", "b", "{}", "%61", ""])?;
                    path += "/";
                    path += if literal == "{}" && captured {
                        "c"
                    } else {
                        literal
                    };
                    captured |= literal == "{}";
                }
                let pattern = format!("{} {path}", u.choose(&["GET", "PUT"])?);
                if !patterns.contains(&pattern) {
                    patterns.push(pattern);
                }
            }
            let numbered: Vec<(&str, usize)> = patterns
                .iter()
                .enumerate()
                .map(|(number, pattern)| (pattern.as_str(), number))
                .collect();
            let router = Router::new(&numbered).unwrap();
            for _ in 0..20 {
                let mut path = String::new();
                for _ in 0..u.int_in_range(1..=4)? {
                    path += "/";
                    path += *u.choose(&["a", "b", "c", "%61", "%zz", "", "%2f.", "%ff"])?;
                }
                let method = *u.choose(&["GET", "PUT", "get"])?;
                let mut known = patterns
                    .iter()
                    .enumerate()
                    .filter_map(|(number, pattern)| {
                        let (held, pattern) = pattern.split_once(' ')?;
                        // Of several matching patterns, the one with the later capture takes precedence.
                        let rank: Vec<bool> =
                            pattern.split('/').map(|segment| segment == "{}").collect();
                        captures(pattern, &path)
                            .map(|captured| (rank, held.to_owned(), number, captured))
                    })
                    .collect::<Vec<_>>();
                known.sort();
                let found = known.iter().find(|(_, held, ..)| held == method);
                let expected = match found {
                    Some((_, _, number, captured)) => Match::Found(*number, captured[0].clone()),
                    None if !known.is_empty() => Match::WrongMethod,
                    None => Match::NotFound,
                };
                assert_eq!(
                    router.lookup(method, &path),
                    expected,
                    "{method} {path} in {patterns:?}"
                );
                assert_eq!(router.allowed(&path).is_empty(), known.is_empty());
            }
            Ok(())
        };
        rookpulley_samples::run_cases(400, 400, property);
    }

    #[test]
    fn invalid_and_duplicate_patterns_are_rejected() {
        assert!(matches!(
            Router::new(&[("GET rookpulley", 0)]),
            Err(RouterError::InvalidPattern(_))
        ));
        assert!(matches!(
            Router::new(&[("GET /{}/{}", 0)]),
            Err(RouterError::InvalidCapture(_))
        ));
        assert!(matches!(
            Router::new(&[("GET /a{}", 0)]),
            Err(RouterError::InvalidCapture(_))
        ));
        assert!(matches!(
            Router::new(&[("GET /{}", 0), ("GET /{}", 1)]),
            Err(RouterError::Duplicate(_))
        ));
        assert_eq!(
            query_value("after=930&waitMs=2000&after=1", "after"),
            Some("930")
        );
        assert_eq!(query_value("after=930", "aft"), None);
    }
}
