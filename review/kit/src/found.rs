use crate::cluster::{Cluster, Plan, Record, Role};
use crate::task::{Task, sound};
use crate::{Outcome, Verdict};
use std::time::Duration;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(Plan::default(), record.clone())?;
    cluster.start_all()?;
    let ms = std::env::var("AT_MS")
        .ok()
        .and_then(|t| t.parse().ok())
        .unwrap_or(200);
    std::thread::sleep(Duration::from_millis(ms));
    if has_trouble {
        cluster.kill(Role::Controller, 0);
        std::fs::remove_dir_all(cluster.data(0))?;
        if std::env::var_os("BACK").is_some() {
            std::thread::sleep(Duration::from_millis(1000));
            cluster.start(Role::Controller, 0, false)?;
        }
    }
    let mut tasks = Vec::new();
    for number in 0..3 {
        tasks.push(Task::start(
            &format!("i-{number}"),
            "lonja",
            "north",
            cluster.other_ip(number),
            cluster.controls(),
            record.clone(),
            Duration::from_millis(1500),
            sound(Duration::from_millis(10)),
        )?);
    }
    let ok = cluster.configure(&crate::sites::configuration(1), Duration::from_secs(20));
    let ready = ok && cluster.wait_ready(1, Duration::from_secs(5));
    Ok(if ok && ready {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
