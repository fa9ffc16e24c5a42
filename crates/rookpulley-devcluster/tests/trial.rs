//! The command as users start it, with the controllers and proxies of this very source.

use rustix::process::{Pid, Signal, kill_process};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::OnceLock;
use std::time::Duration;

const DEPOT: &str = env!("CARGO_BIN_EXE_rookpulley-devcluster");

/// Builds the programs of the other packages beside the cluster, which `cargo test` doesn't. Where they are built
/// already this takes a moment.
fn built() {
    static DONE: OnceLock<()> = OnceLock::new();
    DONE.get_or_init(|| {
        // The test stands in TARGET/PROFILE/deps.
        let test = std::env::current_exe().unwrap();
        let folder = test.parent().and_then(Path::parent).unwrap();
        let profile = match folder.file_name().unwrap().to_str().unwrap() {
            "debug" => "dev",
            name => name,
        };
        let mut cargo = Command::new(env!("CARGO"));
        cargo
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .args(["build", "--quiet", "--locked"]);
        cargo.args([
            "-p",
            "rookpulley-controller",
            "-p",
            "rookpulley-proxy",
            "--profile",
            profile,
        ]);
        let done = cargo
            .arg("--target-dir")
            .arg(folder.parent().unwrap())
            .status()
            .unwrap();
        assert!(
            done.success(),
            "the controller and the proxy can't be built"
        );
    });
}

/// The cluster, with its folder in memory where this machine has a place for that: controllers sync what they are told, and
/// the verdict must not hang on how busy the disk is.
fn cluster() -> Command {
    let mounts = std::fs::read_to_string("/proc/self/mounts").unwrap_or_default();
    let mut in_memory = mounts.lines().filter_map(|line| {
        let mut words = line.split(' ');
        let (place, kind) = (words.nth(1)?, words.next()?);
        (kind == "tmpfs").then_some(place)
    });
    let place = in_memory.find(|place| tempfile::tempdir_in(place).is_ok());
    let mut command = Command::new(DEPOT);
    if let Some(place) = place {
        command.env("TMPDIR", place);
    }
    command
}

#[test]
fn a_trial_passes() {
    built();
    let out = cluster().args(["--trial", "--for", "40"]).output().unwrap();
    let said = String::from_utf8_lossy(&out.stdout);
    let faults = String::from_utf8_lossy(&out.stderr);
    assert!(out.status.success(), "{said}\n{faults}");
    assert!(
        said.contains("trial: passed") && faults.is_empty(),
        "{said}\n{faults}"
    );
}

#[test]
fn it_serves_until_it_is_told_to_end_and_leaves_nothing_behind() {
    built();
    let mut cluster = cluster()
        .args(["--for", "40"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut said = BufReader::new(cluster.stdout.take().unwrap())
        .lines()
        .map(Result::unwrap);
    let mut line_with = |mark: &str| {
        let line = said.find(|line| line.contains(mark));
        line.unwrap_or_else(|| panic!("it said nothing of {mark:?}"))
    };
    let folder = PathBuf::from(line_with("cluster: up").rsplit(' ').next().unwrap());
    assert!(folder.join("office-1.toml").is_file() && folder.join("courier-3.toml").is_file());
    // The lines that it shows must do what they promise.
    let request = line_with("my-first");
    let address = request
        .split_once("http://")
        .unwrap()
        .1
        .split_once('/')
        .unwrap()
        .0;
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let head = "GET /read/hello HTTP/1.1\r\nHost: letters.example\r\nRequest-Id: my-first\r\n";
    stream
        .write_all(format!("{head}Connection: close\r\n\r\n").as_bytes())
        .unwrap();
    let mut back = String::new();
    stream.read_to_string(&mut back).unwrap();
    assert!(
        back.starts_with("HTTP/1.1 200 ") && back.contains("my-first by i-"),
        "{back}"
    );

    kill_process(Pid::from_child(&cluster), Signal::TERM).unwrap();
    assert!(cluster.wait().unwrap().success());
    assert!(!folder.exists());
}

#[test]
fn without_its_programs_it_says_what_to_build() {
    // A link, as a copy may still be open for writing in another test's child when it is to be started.
    let alone = tempfile::tempdir_in(Path::new(DEPOT).parent().unwrap()).unwrap();
    let copy = alone.path().join("rookpulley-devcluster");
    std::fs::hard_link(DEPOT, &copy).unwrap();
    let out = Command::new(&copy).arg("--trial").output().unwrap();
    let faults = String::from_utf8_lossy(&out.stderr);
    assert!(!out.status.success());
    assert!(
        faults.contains("rookpulley-controller isn't there") && faults.contains("cargo build"),
        "{faults}"
    );
}
