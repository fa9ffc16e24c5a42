//! Starts, supervises, kills and terminates the controller and proxy processes.

use crate::environment::{ALL_MACHINES, Environment, MACHINE_COUNT};
use crate::errors::ClusterError;
use crate::node_settings::{GRACE_PERIOD_S, Role, data_folder, node_settings};
use rustix::process::{Pid, Signal, kill_process};
use std::fmt::Write;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{Instant, timeout_at};

/// Lines of each log that an error message includes.
const TAIL_LINES: usize = 6;
/// Extra time after the grace period before a process is killed.
const KILL_DELAY: Duration = Duration::from_secs(2);

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
    processes: Vec<Process>,
}

/// Every role on every machine: all controllers, then all proxies.
fn all_nodes() -> impl Iterator<Item = (Role, usize)> {
    Role::ALL
        .into_iter()
        .flat_map(|role| (0..ALL_MACHINES).map(move |machine| (role, machine)))
}

/// The path of a program in the same folder as this one.
fn sibling_program(name: &str) -> Result<PathBuf, ClusterError> {
    let own = std::env::current_exe().map_err(ClusterError::system(
        "cannot determine the path of this program",
    ))?;
    let path = own.with_file_name(name);
    if path.is_file() {
        Ok(path)
    } else {
        Err(ClusterError::NotBuilt(path))
    }
}

impl Processes {
    pub fn locate(verbose: bool) -> Result<Self, ClusterError> {
        let (controllers, proxies) = (
            sibling_program("rookpulley-controller")?,
            sibling_program("rookpulley-proxy")?,
        );
        let processes = all_nodes().map(|(role, machine)| {
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
            processes: processes.collect(),
        })
    }

    pub fn start_all(&mut self, environment: &Environment) -> Result<(), ClusterError> {
        let is_initial = |index: &usize| {
            let process = self.processes.get(*index);
            process.is_some_and(|process| process.machine < MACHINE_COUNT)
        };
        let initial: Vec<usize> = (0..self.processes.len()).filter(is_initial).collect();
        initial
            .into_iter()
            .try_for_each(|index| self.start_index(environment, index, true))
    }

    /// Starts a process with its existing data, if there are any.
    pub fn start(&mut self, environment: &Environment, name: &str) -> Result<(), ClusterError> {
        let index = self
            .processes
            .iter()
            .position(|process| process.name == name);
        index.map_or(Ok(()), |index| self.start_index(environment, index, false))
    }

    fn start_index(
        &mut self,
        environment: &Environment,
        index: usize,
        first: bool,
    ) -> Result<(), ClusterError> {
        let Some(process) = self.processes.get_mut(index) else {
            return Ok(());
        };
        let node = node_settings(environment, process.machine, process.role, first);
        let file = environment.folder().join(format!("{}.toml", process.name));
        std::fs::write(&file, node.to_string())
            .map_err(ClusterError::system("cannot write a settings file"))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(log_path(environment, &process.name));
        let log = log.map_err(ClusterError::system("cannot open a log file"))?;
        let stderr_log = log
            .try_clone()
            .map_err(ClusterError::system("cannot open a log file"))?;
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
            .stderr(stderr_log)
            .kill_on_drop(true);
        // In its own process group, so that Ctrl-C reaches only the cluster, which terminates the processes in order.
        command.process_group(0);
        process.child = Some(
            command
                .spawn()
                .map_err(ClusterError::system("cannot start a program"))?,
        );
        Ok(())
    }

    /// Removes and returns the first process that has exited, with its status.
    pub fn take_exited(&mut self) -> Option<(String, ExitStatus)> {
        self.processes.iter_mut().find_map(|process| {
            let status = process.child.as_mut()?.try_wait().ok()??;
            process.child = None;
            Some((process.name.clone(), status))
        })
    }

    /// Fails with the last log lines if a process has exited.
    pub fn check_running(&mut self, environment: &Environment) -> Result<(), ClusterError> {
        let Some((name, status)) = self.take_exited() else {
            return Ok(());
        };
        let log_tails = log_tail(environment, &name);
        Err(ClusterError::Exited {
            name,
            status: status.to_string(),
            log_tails,
        })
    }

    /// Sends a signal to a process that runs.
    pub fn signal(&self, name: &str, signal: Signal) {
        let child = self
            .processes
            .iter()
            .find(|process| process.name == name)
            .and_then(|process| process.child.as_ref());
        let pid = child.and_then(Child::id);
        if let Some(pid) = pid.and_then(|id| Pid::from_raw(id as i32)) {
            // It may have exited meanwhile.
            _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGKILL and waits for the exit.
    pub async fn kill(&mut self, name: &str) {
        let child = self
            .processes
            .iter_mut()
            .find(|process| process.name == name)
            .and_then(|p| p.child.take());
        if let Some(mut child) = child {
            _ = child.kill().await;
        }
    }

    /// Sends SIGTERM to all processes, and SIGKILL to those that exceed the grace period. Returns a message for each
    /// that did not exit successfully.
    pub async fn terminate(&mut self) -> Vec<String> {
        let mut terminating = Vec::new();
        for process in &mut self.processes {
            let Some(child) = process.child.take() else {
                continue;
            };
            let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
            // A signal to a process that has already exited may fail; its status is reported below.
            _ = pid.map(|pid| kill_process(pid, Signal::TERM));
            terminating.push((process.name.clone(), child));
        }
        let limit = Duration::from_secs_f64(GRACE_PERIOD_S) + KILL_DELAY;
        let deadline = Instant::now() + limit;
        let mut faults = Vec::new();
        for (name, mut child) in terminating {
            match timeout_at(deadline, child.wait()).await {
                Ok(Ok(status)) if status.success() => {}
                Ok(Ok(status)) => faults.push(format!("{name} exited with {status}")),
                Ok(Err(error)) => faults.push(format!("cannot wait for {name}: {error}")),
                Err(_) => {
                    _ = child.kill().await;
                    faults.push(format!(
                        "{name} did not exit within {} s of SIGTERM",
                        limit.as_secs()
                    ));
                }
            }
        }
        faults
    }
}

/// Deletes the data of a controller that doesn't run, as if it had got a new disk.
pub fn erase_data(environment: &Environment, machine: usize) -> Result<(), ClusterError> {
    let folder = data_folder(environment, machine);
    std::fs::remove_dir_all(folder).map_err(ClusterError::system(
        "cannot delete the data of a controller",
    ))
}

fn log_path(environment: &Environment, name: &str) -> PathBuf {
    environment.folder().join(format!("{name}.log"))
}

/// The last lines of a process's log.
fn log_tail(environment: &Environment, name: &str) -> String {
    let text = std::fs::read(log_path(environment, name)).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let lines: Vec<&str> = text.lines().collect();
    let mut output = String::new();
    for line in lines
        .get(lines.len().saturating_sub(TAIL_LINES)..)
        .unwrap_or_default()
    {
        _ = write!(output, "\n    {name}: {line}");
    }
    output
}

/// The last log lines of all processes, for timeout errors.
pub fn all_log_tails(environment: &Environment) -> String {
    all_nodes()
        .map(|(role, machine)| log_tail(environment, &role.name(machine)))
        .collect()
}

/// All log lines except those of the levels info and debug, sorted.
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
        let notable = text
            .lines()
            .filter(|line| !line.starts_with("info ") && !line.starts_with("debug "));
        found.extend(notable.map(|line| format!("{name}: {line}")));
    }
    found.sort();
    found
}
