//! The controllers and proxies as processes: started, looked after, killed, ended.

use crate::environment::{Environment, MACHINES};
use crate::faults::ClusterError;
use crate::sheet::{GRACE_S, Role, sheet};
use rustix::process::{Pid, Signal, kill_process};
use std::fmt::Write;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{Instant, timeout_at};

/// Of a log, so many lines are shown where something went wrong.
const TAIL: usize = 6;
/// What a process may take beyond its grace before it is killed.
const BEYOND: Duration = Duration::from_secs(2);

struct Process {
    name: String,
    role: Role,
    machine: usize,
    child: Option<Child>,
}

pub struct Processes {
    controllers: PathBuf,
    proxies: PathBuf,
    verbose: bool,
    all: Vec<Process>,
}

/// All controllers, then all proxies.
fn places() -> impl Iterator<Item = (Role, usize)> {
    Role::ALL
        .into_iter()
        .flat_map(|role| (0..MACHINES).map(move |machine| (role, machine)))
}

/// The program that stands beside this one.
fn sibling(name: &str) -> Result<PathBuf, ClusterError> {
    let own = std::env::current_exe()
        .map_err(ClusterError::system("this program's own place is unknown"))?;
    let path = own.with_file_name(name);
    if path.is_file() {
        Ok(path)
    } else {
        Err(ClusterError::NotBuilt(path))
    }
}

impl Processes {
    pub fn find(verbose: bool) -> Result<Self, ClusterError> {
        let (controllers, proxies) = (
            sibling("rookpulley-controller")?,
            sibling("rookpulley-proxy")?,
        );
        let all = places().map(|(role, machine)| {
            let name = role.name(machine);
            Process {
                name,
                role,
                machine,
                child: None,
            }
        });
        Ok(Self {
            controllers,
            proxies,
            verbose,
            all: all.collect(),
        })
    }

    pub fn start_all(&mut self, environment: &Environment) -> Result<(), ClusterError> {
        (0..self.all.len()).try_for_each(|place| self.start_at(environment, place, true))
    }

    /// Starts one again, with its disk as it was left.
    pub fn start(&mut self, environment: &Environment, name: &str) -> Result<(), ClusterError> {
        let place = self.all.iter().position(|process| process.name == name);
        place.map_or(Ok(()), |place| self.start_at(environment, place, false))
    }

    fn start_at(
        &mut self,
        environment: &Environment,
        place: usize,
        first: bool,
    ) -> Result<(), ClusterError> {
        let Some(process) = self.all.get_mut(place) else {
            return Ok(());
        };
        let node = sheet(environment, process.machine, process.role, first);
        let file = environment.folder().join(format!("{}.toml", process.name));
        std::fs::write(&file, node.to_string())
            .map_err(ClusterError::system("settings can't be written"))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(log_of(environment, &process.name));
        let log = log.map_err(ClusterError::system("a log can't be written"))?;
        let again = log
            .try_clone()
            .map_err(ClusterError::system("a log can't be written"))?;
        let program = if process.role == Role::Controller {
            &self.controllers
        } else {
            &self.proxies
        };
        let mut command = Command::new(program);
        if self.verbose {
            command.arg("--verbose");
        }
        command
            .env(rookpulley_settings::BOOT_VARIABLE, &file)
            .current_dir(environment.folder());
        command
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(again)
            .kill_on_drop(true);
        // A group of its own: Ctrl-C is for the cluster, which ends its processes in order.
        command.process_group(0);
        process.child = Some(
            command
                .spawn()
                .map_err(ClusterError::system("a program can't be started"))?,
        );
        Ok(())
    }

    /// The first that ended by itself and how. It is no longer among those that run.
    pub fn ended(&mut self) -> Option<(String, ExitStatus)> {
        self.all.iter_mut().find_map(|process| {
            let status = process.child.as_mut()?.try_wait().ok()??;
            process.child = None;
            Some((process.name.clone(), status))
        })
    }

    /// The same as an error, with what it last said.
    pub fn all_run(&mut self, environment: &Environment) -> Result<(), ClusterError> {
        let Some((name, status)) = self.ended() else {
            return Ok(());
        };
        let tails = tail(environment, &name);
        Err(ClusterError::Ended {
            name,
            how: status.to_string(),
            tails,
        })
    }

    /// By SIGKILL.
    pub async fn kill(&mut self, name: &str) {
        let child = self
            .all
            .iter_mut()
            .find(|process| process.name == name)
            .and_then(|p| p.child.take());
        if let Some(mut child) = child {
            _ = child.kill().await;
        }
    }

    /// By SIGTERM, all at once, and by SIGKILL what takes longer than its grace. Gives back what didn't end well.
    pub async fn end(&mut self) -> Vec<String> {
        let mut ending = Vec::new();
        for process in &mut self.all {
            let Some(child) = process.child.take() else {
                continue;
            };
            let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
            // A process that has ended already is told by how it ended.
            _ = pid.map(|pid| kill_process(pid, Signal::TERM));
            ending.push((process.name.clone(), child));
        }
        let within = Duration::from_secs_f64(GRACE_S) + BEYOND;
        let until = Instant::now() + within;
        let mut faults = Vec::new();
        for (name, mut child) in ending {
            match timeout_at(until, child.wait()).await {
                Ok(Ok(status)) if status.success() => {}
                Ok(Ok(status)) => faults.push(format!("{name} ended with {status}")),
                Ok(Err(why)) => faults.push(format!("{name} can't be waited for: {why}")),
                Err(_) => {
                    _ = child.kill().await;
                    faults.push(format!(
                        "{name} did not end within {} s of SIGTERM",
                        within.as_secs()
                    ));
                }
            }
        }
        faults
    }
}

fn log_of(environment: &Environment, name: &str) -> PathBuf {
    environment.folder().join(format!("{name}.log"))
}

/// The last lines that a process has said.
fn tail(environment: &Environment, name: &str) -> String {
    let text = std::fs::read(log_of(environment, name)).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let lines: Vec<&str> = text.lines().collect();
    let mut shown = String::new();
    for line in lines
        .get(lines.len().saturating_sub(TAIL)..)
        .unwrap_or_default()
    {
        _ = write!(shown, "\n    {name}: {line}");
    }
    shown
}

/// The last lines of all, to be shown where something was late.
pub fn tails(environment: &Environment) -> String {
    places()
        .map(|(role, machine)| tail(environment, &role.name(machine)))
        .collect()
}

/// What all logs say above the ordinary, to be read after a trial.
pub fn warnings(folder: &Path) -> Vec<String> {
    let Ok(files) = std::fs::read_dir(folder) else {
        return Vec::new();
    };
    let mut found = Vec::new();
    for path in files
        .flatten()
        .map(|file| file.path())
        .filter(|path| path.extension().is_some_and(|e| e == "log"))
    {
        let name = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let text = std::fs::read(&path).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let loud = text
            .lines()
            .filter(|line| !line.starts_with("info ") && !line.starts_with("debug "));
        found.extend(loud.map(|line| format!("{name}: {line}")));
    }
    found.sort();
    found
}
