//! Tests the command against an operator API with scripted responses.

use assert_cmd::Command;
use rookpulley_operators::api::{
    ApiError, ApiRequest, ApiResponse, DiffList, DiffRow, HolderList, HolderRow, RollbackList,
    RollbackRow, ServerList, ServerRow, VersionList, VersionRow,
};
use rookpulley_operators::file::Token;
use rookpulley_operators::server;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, channel};

const OLD: &str = "n0~00000000000000aa~1";
const NEW: &str = "n0~00000000000000aa~2";

fn holder(dispatcher: u16, joined: bool, judged: &str) -> HolderRow {
    HolderRow {
        dispatcher,
        joined,
        speaks: dispatcher == 0,
        kinds: vec!["show".into()],
        table: dispatcher,
        judged: judged.into(),
        told: Some(NEW.into()),
        confirmed: Some(OLD.into()),
        claimed: (dispatcher == 0).then(|| OLD.into()),
        waits_ms: (judged == "behind").then_some(240.0),
        back: false,
    }
}

fn answer(ask: &ApiRequest) -> ApiResponse {
    let row = |version: &str, newest| VersionRow {
        version: version.into(),
        table: 0,
        digest: "faYpF0JPvc5sB0KrU_JiMQ".into(),
        lines: 4,
        issued_ms: 0.0,
        newest,
        in_use: newest,
    };
    let back = |table, what: &str| RollbackRow {
        table,
        what: what.into(),
        why: None,
        usable: Some(3),
        of: Some(4),
    };
    match ask {
        ApiRequest::Versions { .. } => ApiResponse::Versions(VersionList {
            assigner: "n0".into(),
            start: "00000000000000aa".into(),
            versions: vec![row(OLD, false), row(NEW, true)],
        }),
        ApiRequest::Holders => {
            let holders = vec![
                holder(0, true, "in step"),
                holder(1, true, "behind"),
                holder(2, false, "unknown"),
            ];
            ApiResponse::Holders(HolderList {
                assigner: "n0".into(),
                holders,
            })
        }
        ApiRequest::Diff { from, to } => {
            let lines = vec![DiffRow {
                server: "s-1".into(),
                from: Some(1.0),
                to: None,
            }];
            let lines = if from == to { Vec::new() } else { lines };
            ApiResponse::Diff(DiffList {
                from: from.clone(),
                to: to.clone(),
                lines,
                delta_bytes: 50,
                whole_bytes: 80,
            })
        }
        ApiRequest::Rollback { to, .. } if to == OLD => ApiResponse::Back(RollbackList {
            tables: vec![back(0, "held")],
        }),
        ApiRequest::Rollback { to, .. } if to == NEW => ApiResponse::Back(RollbackList {
            tables: vec![back(0, "refused")],
        }),
        ApiRequest::Rollback { to, .. } => {
            let refusal =
                ApiError::new(404, format!("{to} was never issued"), Some("see versions"));
            ApiResponse::Refused { refusal }
        }
        ApiRequest::Servers => {
            let row = |n: u32, stage: &str| ServerRow {
                server: format!("s-{n}"),
                address: format!("10.0.0.{n}:80"),
                zone: "east".into(),
                machine: "small".into(),
                bay: 0,
                weight: 1.0,
                stage: stage.into(),
                started_ms: 0.0,
            };
            ApiResponse::Servers(ServerList {
                file: "servers.star".into(),
                generation: Some(4),
                age_ms: Some(9_000.0),
                not_taken: Some("its seal does not fit".into()),
                servers: vec![row(1, "ready"), row(2, "draining"), row(3, "ready")],
            })
        }
        ApiRequest::Release { .. } => ApiResponse::Back(RollbackList {
            tables: vec![back(0, "ended")],
        }),
    }
}

/// Starts a server on its own thread. Returns its address and the requests that it receives.
fn start_server(token: Option<&'static str>) -> (SocketAddr, Receiver<ApiRequest>) {
    let (address_sender, address_receiver) = channel();
    let (request_sender, requests) = channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            address_sender.send(listener.local_addr().unwrap()).unwrap();
            let (sender, mut received) = tokio::sync::mpsc::channel(4);
            tokio::task::spawn_local(server::serve(
                listener,
                token.map(Token::from_text),
                sender,
                Rc::new(|_| ()),
            ));
            while let Some(a) = received.recv().await {
                let answered = answer(&a.ask);
                // The receiver is gone if the test has ended.
                _ = (request_sender.send(a.ask), a.answer.send(answered));
            }
        });
    });
    (address_receiver.recv().unwrap(), requests)
}

fn run(at: SocketAddr, args: &[&str]) -> (i32, String, String) {
    let mut command = Command::cargo_bin("rookpulley").unwrap();
    command
        .env_remove("ROOKPULLEY_AT")
        .env_remove("ROOKPULLEY_TOKEN_FILE");
    let output = command
        .args(["--at", &at.to_string()])
        .args(args)
        .output()
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (
        output.status.code().unwrap(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test]
fn responses_become_tables_and_exit_codes() {
    let (at, requests) = start_server(None);
    for (args, code, wanted) in [
        (
            &["versions"][..],
            0,
            &["n0, started as 00000000000000aa", OLD, "yes"][..],
        ),
        (&["versions", "--table", "0"], 0, &[NEW]),
        (
            &["holders"],
            0,
            &[
                "in step",
                "behind",
                "left",
                "acks only",
                "240 ms",
                "1 of 2 tables in step at n0",
            ],
        ),
        (&["holders", "--check"], 1, &["1 of 2"]),
        (
            &["diff", OLD, NEW],
            1,
            &["s-1", "1 lines differ; as a delta 50 bytes"],
        ),
        (&["diff", OLD, OLD], 0, &["the same lines"]),
        (&["rollback", OLD], 0, &["held", "3 of 4 lines"]),
        (&["rollback", NEW, "--all"], 1, &["refused"]),
        (&["release", "--all"], 0, &["ended"]),
        (&["release", "--table", "3"], 0, &["ended"]),
    ] {
        let (got, out, err) = run(at, args);
        assert!(
            got == code && wanted.iter().all(|w| out.contains(w)),
            "{args:?} {got}: {out}{err}"
        );
        assert!(err.is_empty(), "{err}");
    }
    let received: Vec<ApiRequest> = requests.try_iter().collect();
    assert_eq!(received[1], ApiRequest::Versions { table: Some(0) });
    assert_eq!(
        received[7],
        ApiRequest::Rollback {
            to: NEW.into(),
            table: None,
            all: true
        }
    );
    assert_eq!(
        (&received[8], &received[9]),
        (
            &ApiRequest::Release { table: None },
            &ApiRequest::Release { table: Some(3) }
        )
    );
}

#[test]
fn json_output_is_one_object() {
    let (at, _requests) = start_server(None);
    for args in [
        &["versions"][..],
        &["holders"],
        &["diff", OLD, NEW],
        &["rollback", OLD],
        &["release", "--all"],
    ] {
        let (_, out, _) = run(at, &[&["--json"], args].concat());
        let json: Value = serde_json::from_str(&out).expect(&out);
        assert!(
            json.is_object() && json["error"].is_null() && out.lines().count() == 1,
            "{out}"
        );
    }
    let (code, out, _) = run(at, &["--json", "rollback", "n0~00000000000000aa~9"]);
    let json: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (code, json["error"]["what"].as_str()),
        (
            1,
            Some("n0~00000000000000aa~9 was never issued; see versions")
        )
    );
}

#[test]
fn connection_and_token_errors_are_explained() {
    let (at, _requests) = start_server(Some("a-token-of-some-length"));
    let (code, _, err) = run(at, &["holders"]);
    assert!(
        code == 1 && err.contains("the token is missing or wrong"),
        "{code} {err}"
    );
    let file = std::env::temp_dir().join(format!("rookpulley-token-{}", std::process::id()));
    std::fs::write(&file, "a-token-of-some-length\n").unwrap();
    let (code, ..) = run(at, &["holders", "--token-file", file.to_str().unwrap()]);
    assert_eq!(code, 0);
    std::fs::remove_file(&file).unwrap();
    let (code, _, err) = run(at, &["holders", "--token-file", file.to_str().unwrap()]);
    assert!(code == 3 && err.contains("token file"), "{code} {err}");
    // A port that was just released, so nothing listens on it.
    let gone = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (code, _, err) = run(gone, &["holders"]);
    assert!(code == 3 && err.contains("--operators"), "{code} {err}");
    for args in [
        &["rollback"][..],
        &["release"],
        &["release", "--all", "--table", "1"],
        &["dance"],
        &[],
    ] {
        assert_eq!(run(at, args).0, 2, "{args:?}");
    }
}

#[test]
fn every_command_help_has_an_example() {
    let at = "127.0.0.1:1".parse().unwrap();
    for what in [
        "versions", "holders", "diff", "rollback", "release", "check",
    ] {
        let (code, out, _) = run(at, &[what, "--help"]);
        assert!(
            code == 0 && out.contains(&format!("Example: rookpulley {what}")),
            "{out}"
        );
    }
    let (_, out, _) = run(at, &["--help"]);
    assert!(
        out.contains("operators' address") && out.contains("Exit codes: 0 on success"),
        "{out}"
    );
}

#[test]
fn operators_file_of_the_repository_is_valid() {
    let at = "127.0.0.1:1".parse().unwrap();
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operators.star");
    let (code, out, _) = run(at, &["check", file]);
    assert!(
        code == 0 && out.contains("127.0.0.1:3990") && out.contains("8 of each table"),
        "{out}"
    );
    let (code, _, err) = run(
        at,
        &["check", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")],
    );
    assert!(code == 1 && err.contains("Cargo.toml:"), "{err}");
}

#[test]
fn server_files_can_be_written_sealed_checked_and_planned() {
    let (at, _requests) = start_server(None);
    let folder = tempfile::tempdir().unwrap();
    let path = |name: &str| folder.path().join(name).to_str().unwrap().to_string();
    let (file, old) = (path("servers.star"), path("old.star"));
    let (code, text, _) = run(at, &["servers", "write"]);
    assert!(
        code == 0 && text.contains("generation(5)") && text.contains("drains = True"),
        "{text}"
    );
    std::fs::write(&old, &text).unwrap();
    let (code, out, _) = run(at, &["servers", "check", &old]);
    assert!(
        code == 0 && out.contains("generation 5, 3 servers, can be used"),
        "{out}"
    );
    // An edited file is rejected until its closing statement is updated.
    let edited = text
        .replace("generation(5)", "generation(6)")
        .replace("weight = 1.0)", "weight = 0.25)");
    std::fs::write(&file, &edited).unwrap();
    let (code, out, _) = run(at, &["servers", "check", &file]);
    assert!(
        code == 1 && out.contains("does not fit") && out.contains("write end(servers = 3, seal ="),
        "{out}"
    );
    assert_eq!(run(at, &["servers", "seal", &file]).0, 0);
    let (code, out, _) = run(
        at,
        &["--json", "servers", "check", &file, "--against", &old],
    );
    let json: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (code, json["ok"].as_bool(), json["generation"].as_u64()),
        (1, Some(false), Some(6)),
        "{out}"
    );
    assert!(
        json["reasons"][0]["what"]
            .as_str()
            .unwrap()
            .contains("write loss(0.75)"),
        "{out}"
    );
    let (code, out, _) = run(at, &["servers", "plan", &file, "--against", &old]);
    assert!(
        code == 0
            && out.contains("generation 5 -> 6, capacity 2 -> 0.5")
            && out.contains("weighed anew"),
        "{out}"
    );
    let (code, out, _) = run(at, &["--json", "servers", "plan", &file]);
    let json: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(
        (
            code,
            json["generation_from"].as_u64(),
            json["servers"][0]["to"].as_f64()
        ),
        (0, Some(4), Some(0.25))
    );
    // Checks against the zones and machine types of a deployment.
    let config = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/example.json");
    let (code, out, err) = run(at, &["servers", "check", &old, "--config", config]);
    assert_eq!(code, 0, "{out}{err}");
    std::fs::write(&file, text.replace("\"east\"", "\"north\"")).unwrap();
    assert_eq!(run(at, &["servers", "seal", &file]).0, 0);
    let (code, out, _) = run(at, &["servers", "check", &file, "--config", config]);
    assert!(
        code == 1
            && out.contains(":3:1: \"s-1\" is of zone \"north\"; write one of \"east\", \"west\""),
        "{out}"
    );
    let (code, out, _) = run(at, &["servers", "show"]);
    assert!(
        code == 1
            && out.contains("generation 4, accepted 9 s ago")
            && out.contains("not accepted: its seal"),
        "{out}"
    );
    let (code, _, err) = run(at, &["servers", "seal", &path("nothing.star")]);
    assert!(code == 1 && err.contains("nothing.star"), "{err}");
    for what in ["check", "plan", "seal", "show", "write"] {
        let (code, out, _) = run(at, &["servers", what, "--help"]);
        assert!(
            code == 0 && out.contains(&format!("Example: rookpulley servers {what}")),
            "{out}"
        );
    }
}
