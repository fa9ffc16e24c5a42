//! The operators' own file: good ones, and deliberately broken ones, each with its place and what to write.

use proptest::prelude::*;
use rookpulley_operators::file::{LogForm, Operators, Reach, Token, load, read};
use rookpulley_versions::RetentionLimits;
use std::path::Path;

fn told(text: &str) -> Result<Operators, String> {
    read(Path::new("operators.star"), text).map_err(|e| e.to_string())
}

#[test]
fn what_is_not_named_is_off() {
    assert_eq!(told("# nothing\n"), Ok(Operators::default()));
    let all = "PORT = \"3990\"\naddress(listen = \"127.0.0.1:\" + PORT)\nversions(keep = 4)\nservers(file = \"/etc/servers.star\")\nlog(form = \"json\")\n";
    let listen = "127.0.0.1:3990".parse().unwrap();
    assert_eq!(
        told(all),
        Ok(Operators {
            address: Some(Reach {
                listen,
                token_file: None
            }),
            versions: Some(RetentionLimits {
                per_table: 4,
                bytes: 16 << 20
            }),
            servers: Some("/etc/servers.star".into()),
            log: LogForm::Json,
        })
    );
    let far = told("address(listen = \"10.0.0.4:3990\", token_file = \"/run/token\")").unwrap();
    assert_eq!(
        far.address.unwrap().token_file.unwrap(),
        Path::new("/run/token")
    );
}

/// The text, and what its error must hold.
const BROKEN: &[(&str, &[&str])] = &[
    (
        "address(listen = \"nowhere\")",
        &["operators.star:1:1", "no address; write one such as"],
    ),
    (
        "\naddress(listen = \"10.0.0.4:3990\")",
        &["operators.star:2:1", "write token_file"],
    ),
    ("address(\"127.0.0.1:1\")", &["operators.star:1:"]),
    ("address()", &["listen"]),
    (
        "address(listen = 3990)",
        &["operators.star:1:", "expected `str`"],
    ),
    ("versions(keep = 1)", &["write a figure from 2 to 1000"]),
    (
        "versions(megabytes = 9999)",
        &["megabytes", "from 1 to 4096"],
    ),
    ("versions(keep = 2.5)", &["operators.star:1:"]),
    (
        "versions()\nversions()",
        &["operators.star:2:1", "called twice"],
    ),
    (
        "servers(file = \"\")",
        &["operators.star:1:1", "write the path"],
    ),
    ("log(form = \"xml\")", &["write \"text\" or \"json\""]),
    (
        "adress(listen = \"127.0.0.1:1\")",
        &[
            "operators.star:1:1",
            "address(), versions(), servers() and log()",
        ],
    ),
    ("load(\"other.star\", \"x\")", &["operators.star:1:1"]),
    ("versions(keep = \n", &["operators.star:"]),
    ("  versions()", &["operators.star:1:"]),
    // Whatever could grow beyond the script's own length.
    (
        "def f():\n  return 1\nf()",
        &["operators.star:1:1", "a function of its own can't be used"],
    ),
    (
        "for a in [1]:\n  versions()",
        &["operators.star:1:1", "a loop"],
    ),
    (
        "x = [a for a in [1, 2]]",
        &[
            "operators.star:1:5",
            "a comprehension",
            "write the value out",
        ],
    ),
    (
        "x = \"y\" * 1000000000000",
        &["operators.star:1:5", "this operator"],
    ),
    (
        "x = \"y\"\ny = x + x",
        &["operators.star:2:5", "this operator"],
    ),
    (
        "x = \"y\"\nx += \"z\"",
        &["operators.star:2:1", "a change of a name"],
    ),
    (
        "x = \"a\".join([\"b\"])",
        &["operators.star:1:5", "a method"],
    ),
    ("x = \"%s%s\" % (1, 1)", &["this operator"]),
    ("x = lambda a: a", &["a function of its own"]),
    ("x = 1 if True else 2", &["a condition"]),
    ("x = [1][0]", &["a part of a value"]),
    ("open(\"/etc/hostname\")", &["operators.star:1:1"]),
];

#[test]
fn broken_files_are_refused_with_place_and_remedy() {
    for (text, wanted) in BROKEN {
        let said = told(text).expect_err(text);
        assert!(
            wanted.iter().all(|w| said.contains(w)),
            "{text:?} says {said:?}"
        );
        assert_eq!(said.lines().count(), 1, "one line: {said:?}");
    }
    let deep = format!("x = {}1{}", "[".repeat(60), "]".repeat(60));
    assert!(told(&deep).unwrap_err().contains("so deep"));
    for pair in [
        ("[", "]"),
        ("(", ")"),
        ("-", ""),
        ("not ", ""),
        ("f(", ")"),
        ("1+", ""),
    ] {
        // It nests at every letter, for as long as a script may be: there is a verdict and no crash.
        let times = 16_000 / (pair.0.len() + pair.1.len());
        _ = told(&format!(
            "x = {}1{}",
            pair.0.repeat(times),
            pair.1.repeat(times)
        ));
    }
    assert!(told(&"#".repeat(70_000)).unwrap_err().contains("too many"));
    assert!(
        load(Path::new("/"))
            .unwrap_err()
            .to_string()
            .contains("plain file")
    );
}

#[test]
fn a_token_is_long_and_compared_whole() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("token");
    std::fs::write(&file, "short\n").unwrap();
    assert!(Token::load(&file).is_err_and(|e| e.to_string().contains("write 16 at least")));
    std::fs::write(&file, "a-token-of-some-length\nand a comment\n").unwrap();
    let token = Token::load(&file).unwrap();
    assert!(token.is("a-token-of-some-length"));
    for wrong in [
        "",
        "a-token-of-some-lengt",
        "a-token-of-some-length ",
        "A-token-of-some-length",
    ] {
        assert!(!token.is(wrong));
    }
}

proptest! {
    #[test]
    fn whatever_stands_in_it_the_file_gets_a_verdict(text in "[a-z0-9=()\\[\\]\",.:\n ]{0,80}") {
        _ = told(&text);
    }
}
