//! Valid, invalid and corrupted deploy files.

use rookpulley_settings::{Amount, Deploy, SettingsError};

const VALID: &str = r#"
build = "cargo build --release"
packages = ["gcc", "libc6-dev"]
[roles.carrier]
run = "target/release/gate carry --quiet"
on = "edge"
share = 1.0
serves = ["edge"]
[roles.keeper]
run = "target/release/gate keep"
on = "edge"
count = 1
serves = ["control_plane"]
"#;

fn faults(text: &str) -> Vec<String> {
    match Deploy::parse(text) {
        Ok(_) => Vec::new(),
        Err(SettingsError::Invalid(all)) => all.faults.iter().map(ToString::to_string).collect(),
        Err(other) => vec![other.to_string()],
    }
}

#[test]
fn all_fields_of_a_deploy_file_are_read() {
    let deploy = Deploy::parse(VALID).unwrap();
    let (carrier, keeper) = (&deploy.roles["carrier"], &deploy.roles["keeper"]);
    assert_eq!(deploy.packages, ["gcc", "libc6-dev"]);
    assert_eq!(carrier.run, ["target/release/gate", "carry", "--quiet"]);
    assert_eq!(
        (carrier.amount, keeper.amount),
        (Amount::Share(1.0), Amount::Count(1))
    );
    assert_eq!(
        (keeper.apart, &keeper.serves[..]),
        (false, &["control_plane".to_string()][..])
    );
}

#[test]
fn each_fault_names_the_field_the_value_found_and_the_value_expected() {
    for (original, replacement, expected) in [
        (
            "build = \"cargo build --release\"",
            "",
            "build is missing; write the build command, such as",
        ),
        (
            "build =",
            "rebuild = 1\nbuild =",
            "rebuild is not a field of this file; write one of build, packages, roles",
        ),
        (
            "\"libc6-dev\"",
            "\"libc6 dev\"",
            "packages[1] is \"libc6 dev\"; write names of system packages",
        ),
        (
            "\"libc6-dev\"",
            "7",
            "packages[1] is 7; write names of system packages",
        ),
        (
            "\"libc6-dev\"",
            "\"gcc\"",
            "packages is a list that contains \"gcc\" twice; write each once",
        ),
        (
            "share = 1.0",
            "share = 0",
            "roles.carrier.share is 0; write a number above 0 and up to 1",
        ),
        (
            "share = 1.0",
            "share = 1.5",
            "roles.carrier.share is 1.5; write a number above 0 and up to 1",
        ),
        (
            "share = 1.0",
            "",
            "roles.carrier.share is missing, and so is count",
        ),
        (
            "share = 1.0",
            "share = 1.0\ncount = 2",
            "roles.carrier.count is there beside share; write one",
        ),
        (
            "count = 1",
            "count = 0.5",
            "roles.keeper.count is 0.5; write a whole number, at least 1",
        ),
        (
            "count = 1",
            "count = true",
            "roles.keeper.count is true; write a whole number",
        ),
        (
            "on = \"edge\"\ncount",
            "on = \"core\"\ncount",
            "roles.keeper.on is \"core\", which is not a machine class",
        ),
        (
            "\"control_plane\"",
            "\"edge\"",
            "roles.keeper.serves is a list with \"edge\", which roles.carrier",
        ),
        (
            "\"control_plane\"",
            "\"edges\"",
            "roles.keeper.serves[0] is \"edges\"; write \"edge\" for clients",
        ),
        (
            "\"control_plane\"",
            "",
            "roles is a table with no role that serves \"control_plane\"",
        ),
        (
            "\"control_plane\"",
            "\"control_plane\",\"control_plane\"",
            "contains \"control_plane\" twice",
        ),
        (
            "gate keep\"",
            "gate keep | tee log\"",
            "roles.keeper.run is a command with |, which no shell interprets: \"target",
        ),
        (
            "target/release/gate keep",
            "/usr/bin/env gate",
            "a command that starts the program through a wrapper: \"/usr/bin/env gate\"; write the program itself",
        ),
        (
            "target/release/gate keep",
            "MODE=keep gate",
            "a command that begins with a variable: \"MODE=keep gate\"; write the program",
        ),
        (
            "count = 1",
            "count = 1\napart = 1",
            "roles.keeper.apart is 1; write true or false",
        ),
        (
            "[roles.keeper]",
            "[roles]\nkeeper = 3\n[rolls.keeper]",
            "roles.keeper is 3; write a table",
        ),
    ] {
        assert!(VALID.contains(original), "{original}");
        let reported = faults(&VALID.replacen(original, replacement, 1));
        assert!(
            reported.iter().any(|fault| fault.contains(expected)),
            "{original} -> {replacement}: {reported:?}"
        );
    }
    let broken = faults("build = \"x\"\n[roles.a\n");
    assert!(broken[0].contains("line 2, column 9"), "{broken:?}");
}

#[test]
fn a_machine_runs_at_most_two_roles() {
    let third = "[roles.sweeper]\nrun = \"target/release/gate sweep\"\non = \"edge\"\ncount = 2\n";
    let reported = faults(&format!("{VALID}{third}"));
    let expected =
        "roles is a table that places 3 roles on a zone's first machine (carrier, keeper, sweeper)";
    assert!(
        reported.len() == 1 && reported[0].contains(expected),
        "{reported:?}"
    );
    assert_eq!(faults(&format!("{VALID}{third}apart = true\n")), [""; 0]);
    let reported = faults(&format!(
        "{VALID}{}apart = true\n",
        third.replace("count = 2", "share = 1.0")
    ));
    assert!(reported[0].contains("first machine"), "{reported:?}");
}

/// A deployment, with the number of disks per zone and the machine losses that it must tolerate.
struct Deployment {
    zones: u32,
    machines: std::ops::RangeInclusive<u32>,
    disks: u32,
    losses: u32,
}

#[test]
fn the_deploy_file_places_enough_controllers_with_a_disk_to_tolerate_the_losses() {
    let file = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/system.toml");
    let deploy = Deploy::read(&file).unwrap();
    let control = deploy
        .roles
        .values()
        .find(|role| role.serves == ["control_plane"])
        .unwrap();
    // Small and large deployments, with different numbers of spare machines.
    for Deployment {
        zones,
        machines,
        disks,
        losses,
    } in [
        Deployment {
            zones: 4,
            machines: 3..=4,
            disks: 1,
            losses: 1,
        },
        Deployment {
            zones: 3,
            machines: 4..=5,
            disks: 1,
            losses: 1,
        },
        Deployment {
            zones: 5,
            machines: 17..=20,
            disks: 1,
            losses: 2,
        },
        Deployment {
            zones: 3,
            machines: 25..=28,
            disks: 2,
            losses: 2,
        },
    ] {
        for zone_machines in machines {
            let stores = zones * control.amount.machines_in_zone(zone_machines).min(disks);
            // A majority must remain after the losses.
            assert!(
                stores > 2 * losses,
                "{zones} zones of {zone_machines}: {stores} stores for {losses} losses"
            );
        }
    }
}

#[test]
fn a_corrupted_deploy_file_never_panics_and_an_accepted_one_is_valid() {
    let lines: Vec<&str> = VALID.lines().collect();
    let property = |u: &mut arbtest::arbitrary::Unstructured| {
        let mut text = String::new();
        for line in &lines {
            match u.int_in_range(0..=9)? {
                0 => continue,
                1 => {
                    text += *u.choose(&[
                        "share = 0.3",
                        "count = 7",
                        "serves = []",
                        "apart = true",
                        "on = 4",
                    ])?
                }
                2 => text += &line.replace(['"', '1'], u.choose(&["", "2", "-", "'", "[", "é"])?),
                _ => text += line,
            }
            text += "\n";
        }
        if let Ok(deploy) = Deploy::parse(&text) {
            assert!(!deploy.build.is_empty() && !deploy.roles.is_empty());
            for name in ["edge", "control_plane"] {
                assert_eq!(
                    deploy
                        .roles
                        .values()
                        .filter(|r| r.serves.iter().any(|s| s == name))
                        .count(),
                    1
                );
            }
            for role in deploy.roles.values() {
                assert!(!role.run.is_empty() && role.on == "edge");
                assert!(match role.amount {
                    Amount::Share(share) => share > 0.0 && share <= 1.0,
                    Amount::Count(count) => count > 0,
                });
            }
        } else {
            assert!(faults(&text).iter().all(|fault| !fault.is_empty()));
        }
        Ok(())
    };
    rookpulley_samples::run_cases(600, 128, property);
}
