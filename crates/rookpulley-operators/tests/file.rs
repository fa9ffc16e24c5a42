//! The operators' file: valid scripts, and the position and remedy in the errors for invalid ones.

use proptest::prelude::*;
use rookpulley_operators::file::{ListenSettings, LogFormat, OperatorSettings, Token, load, read};
use rookpulley_versions::RetentionLimits;
use std::path::Path;

fn read_text(text: &str) -> Result<OperatorSettings, String> {
    read(Path::new("operators.star"), text).map_err(|e| e.to_string())
}

#[test]
fn settings_not_named_are_disabled() {
    assert_eq!(read_text("# nothing\n"), Ok(OperatorSettings::default()));
    let all = "PORT = \"3990\"\naddress(listen = \"127.0.0.1:\" + PORT)\nversions(keep = 4)\nservers(file = \"/etc/servers.star\")\nlog(form = \"json\")\n";
    let listen = "127.0.0.1:3990".parse().unwrap();
    assert_eq!(
        read_text(all),
        Ok(OperatorSettings {
            address: Some(ListenSettings {
                listen,
                token_file: None
            }),
            versions: Some(RetentionLimits {
                per_table: 4,
                bytes: 16 << 20
            }),
            servers: Some("/etc/servers.star".into()),
            log: LogFormat::Json,
        })
    );
    let remote =
        read_text("address(listen = \"10.0.0.4:3990\", token_file = \"/run/token\")").unwrap();
    assert_eq!(
        remote.address.unwrap().token_file.unwrap(),
        Path::new("/run/token")
    );
}

/// Scripts, and the parts that their error messages must contain.
const BROKEN: &[(&str, &[&str])] = &[
    (
        "address(listen = \"nowhere\")",
        &["operators.star:1:1", "not an address; write one such as"],
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
    ("versions(keep = 1)", &["write a number from 2 to 1000"]),
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
    // Constructs whose cost is not bounded by the length of the script.
    (
        "def f():\n  return 1\nf()",
        &["operators.star:1:1", "a function definition can't be used"],
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
        &["operators.star:2:1", "augmented assignment"],
    ),
    (
        "x = \"a\".join([\"b\"])",
        &["operators.star:1:5", "a method"],
    ),
    ("x = \"%s%s\" % (1, 1)", &["this operator"]),
    ("x = lambda a: a", &["a lambda"]),
    ("x = 1 if True else 2", &["a conditional expression"]),
    ("x = [1][0]", &["an index or slice"]),
    ("open(\"/etc/hostname\")", &["operators.star:1:1"]),
];

#[test]
fn invalid_files_are_rejected_with_position_and_remedy() {
    for (text, expected) in BROKEN {
        let message = read_text(text).expect_err(text);
        assert!(
            expected.iter().all(|w| message.contains(w)),
            "{text:?} gives {message:?}"
        );
        assert_eq!(message.lines().count(), 1, "one line: {message:?}");
    }
    let nested = format!("x = {}1{}", "[".repeat(60), "]".repeat(60));
    assert!(read_text(&nested).unwrap_err().contains("nested so deeply"));
    for pair in [
        ("[", "]"),
        ("(", ")"),
        ("-", ""),
        ("not ", ""),
        ("f(", ")"),
        ("1+", ""),
    ] {
        // Nesting at every character up to the maximum script size must not overflow the parser's stack.
        let repeats = 16_000 / (pair.0.len() + pair.1.len());
        _ = read_text(&format!(
            "x = {}1{}",
            pair.0.repeat(repeats),
            pair.1.repeat(repeats)
        ));
    }
    assert!(
        read_text(&"#".repeat(70_000))
            .unwrap_err()
            .contains("too many")
    );
    assert!(
        load(Path::new("/"))
            .unwrap_err()
            .to_string()
            .contains("regular file")
    );
}

#[test]
fn tokens_have_a_minimum_length_and_match_exactly() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("token");
    std::fs::write(&file, "short\n").unwrap();
    assert!(Token::load(&file).is_err_and(|e| e.to_string().contains("write at least 16")));
    std::fs::write(&file, "a-token-of-some-length\nand a comment\n").unwrap();
    let token = Token::load(&file).unwrap();
    assert!(token.matches("a-token-of-some-length"));
    for wrong in [
        "",
        "a-token-of-some-lengt",
        "a-token-of-some-length ",
        "A-token-of-some-length",
    ] {
        assert!(!token.matches(wrong));
    }
}

proptest! {
    #[test]
    fn arbitrary_text_does_not_panic(text in "[a-z0-9=()\\[\\]\",.:\n ]{0,80}") {
        _ = read_text(&text);
    }
}
