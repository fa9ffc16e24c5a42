//! A tree of matchers: the segments of a path lead to a node, which knows the methods that end there.

/// Why a tree can't be built.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, miette::Diagnostic)]
pub enum TreeError {
    #[error("`{0}` is no pattern")]
    #[diagnostic(help("write `METHOD /word/{{}}`: a method, a space, a path"))]
    Pattern(String),
    #[error("`{0}` captures more than one segment, or a part of one")]
    #[diagnostic(help("write `{{}}` once, in the place of a whole segment"))]
    Captures(String),
    #[error("`{0}` stands twice")]
    #[diagnostic(help("write each method and path once"))]
    Twice(String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Match<T> {
    /// The value of the pattern, and what stood in the place of `{}`, with its percent signs decoded once.
    Found(T, String),
    /// The path is known, under other methods.
    WrongMethod,
    Nothing,
}

#[derive(Clone, Debug)]
struct Node<T> {
    words: Vec<(String, Node<T>)>,
    any: Option<Box<Node<T>>>,
    methods: Vec<(String, T)>,
}

impl<T> Node<T> {
    fn new() -> Node<T> {
        Node {
            words: Vec::new(),
            any: None,
            methods: Vec::new(),
        }
    }

    fn grow(&mut self, segment: &str) -> &mut Node<T> {
        if segment == "{}" {
            return self.any.get_or_insert_with(|| Box::new(Node::new()));
        }
        let at = self
            .words
            .iter()
            .position(|(word, _)| word == segment)
            .unwrap_or(self.words.len());
        if at == self.words.len() {
            self.words.push((segment.to_owned(), Node::new()));
        }
        &mut self.words[at].1
    }
}

/// Patterns like `PUT /rookpulley/instances/{}`, each with a value. A word goes before a capture.
#[derive(Clone, Debug)]
pub struct Tree<T> {
    root: Node<T>,
}

impl<T: Copy> Tree<T> {
    pub fn new(patterns: &[(&str, T)]) -> Result<Tree<T>, TreeError> {
        let mut root = Node::new();
        for (pattern, value) in patterns {
            let parts = pattern
                .split_once(" /")
                .filter(|(method, _)| !method.is_empty());
            let Some((method, path)) = parts else {
                return Err(TreeError::Pattern((*pattern).to_owned()));
            };
            let captures = path
                .split('/')
                .filter(|segment| segment.contains(['{', '}']));
            if captures.clone().count() > 1 || captures.clone().any(|segment| segment != "{}") {
                return Err(TreeError::Captures((*pattern).to_owned()));
            }
            let node = path
                .split('/')
                .fold(&mut root, |node, segment| node.grow(segment));
            if node.methods.iter().any(|(held, _)| held == method) {
                return Err(TreeError::Twice((*pattern).to_owned()));
            }
            node.methods.push((method.to_owned(), *value));
        }
        Ok(Tree { root })
    }

    pub fn lookup(&self, method: &str, path: &str) -> Match<T> {
        let (mut found, mut known) = (None, false);
        self.visit(path, &mut |node, captured| {
            known = true;
            let ends = node.methods.iter().find(|(held, _)| held == method);
            found =
                ends.map(|(_, value)| (*value, captured.map(str::to_owned).unwrap_or_default()));
            found.is_some()
        });
        match found {
            Some((value, captured)) => Match::Found(value, captured),
            None if known => Match::WrongMethod,
            None => Match::Nothing,
        }
    }

    /// The methods that a path is known under, as an `Allow` line names them.
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

    /// Shows the nodes where a path may end, words first, until `enough` says so.
    fn visit<'a>(&'a self, path: &str, enough: &mut dyn FnMut(&'a Node<T>, Option<&str>) -> bool) {
        if let Some(rest) = path.strip_prefix('/') {
            walk(&self.root, rest.split('/'), None, enough);
        }
    }
}

fn walk<'a, T>(
    node: &'a Node<T>,
    mut rest: std::str::Split<'_, char>,
    captured: Option<&str>,
    enough: &mut dyn FnMut(&'a Node<T>, Option<&str>) -> bool,
) -> bool {
    let Some(segment) = rest.next() else {
        return !node.methods.is_empty() && enough(node, captured);
    };
    if let Some((_, next)) = node.words.iter().find(|(word, _)| word == segment)
        && walk(next, rest.clone(), captured, enough)
    {
        return true;
    }
    match &node.any {
        Some(next) => {
            decoded(segment).is_some_and(|captured| walk(next, rest, Some(&captured), enough))
        }
        None => false,
    }
}

/// A segment with its percent signs decoded once; none where that is empty or no text.
fn decoded(segment: &str) -> Option<String> {
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

/// The raw value of a name in a query; of several, the first.
pub fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| match pair.split_once('=') {
            Some((held, value)) => (held == name).then_some(value),
            None => (pair == name).then_some(""),
        })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fits(pattern: &str, path: &str) -> Option<Vec<String>> {
        let (pattern, path): (Vec<_>, Vec<_>) =
            (pattern.split('/').collect(), path.split('/').collect());
        let fits = |(word, segment): (&&str, &&str)| match *word {
            "{}" => decoded(segment).map(Some),
            word => (word == *segment).then_some(None),
        };
        let same = pattern.len() == path.len();
        same.then(|| {
            pattern
                .iter()
                .zip(&path)
                .map(fits)
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
    fn a_tree_finds_what_a_search_through_all_patterns_finds() {
        let property = |u: &mut arbtest::arbitrary::Unstructured| {
            let mut patterns: Vec<String> = Vec::new();
            for _ in 0..u.int_in_range(1..=12)? {
                let mut path = String::new();
                let mut captured = false;
                for _ in 0..u.int_in_range(1..=4)? {
                    let word = *u.choose(&["a", "b", "{}", "%61", ""])?;
                    path += "/";
                    path += if word == "{}" && captured { "c" } else { word };
                    captured |= word == "{}";
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
            let tree = Tree::new(&numbered).unwrap();
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
                        // Where two patterns fit, the one whose capture comes later goes first.
                        let rank: Vec<bool> =
                            pattern.split('/').map(|segment| segment == "{}").collect();
                        fits(pattern, &path)
                            .map(|captured| (rank, held.to_owned(), number, captured))
                    })
                    .collect::<Vec<_>>();
                known.sort();
                let found = known.iter().find(|(_, held, ..)| held == method);
                let expected = match found {
                    Some((_, _, number, captured)) => Match::Found(*number, captured[0].clone()),
                    None if !known.is_empty() => Match::WrongMethod,
                    None => Match::Nothing,
                };
                assert_eq!(
                    tree.lookup(method, &path),
                    expected,
                    "{method} {path} in {patterns:?}"
                );
                assert_eq!(tree.allowed(&path).is_empty(), known.is_empty());
            }
            Ok(())
        };
        rookpulley_samples::plays(400, 400, property);
    }

    #[test]
    fn patterns_that_mean_nothing_or_two_things_are_refused() {
        assert!(matches!(
            Tree::new(&[("GET rookpulley", 0)]),
            Err(TreeError::Pattern(_))
        ));
        assert!(matches!(
            Tree::new(&[("GET /{}/{}", 0)]),
            Err(TreeError::Captures(_))
        ));
        assert!(matches!(
            Tree::new(&[("GET /a{}", 0)]),
            Err(TreeError::Captures(_))
        ));
        assert!(matches!(
            Tree::new(&[("GET /{}", 0), ("GET /{}", 1)]),
            Err(TreeError::Twice(_))
        ));
        assert_eq!(query("after=930&waitMs=2000&after=1", "after"), Some("930"));
        assert_eq!(query("after=930", "aft"), None);
    }
}
