//! Three machines on loopback addresses, each with a controller and a proxy of the project as processes of their own.

use crate::http;
use std::fs;
use std::io::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What was seen, written to `record.txt` line by line with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(fs::File::create(path)?));
        Ok(Self {
            file,
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            _ = writeln!(file, "{seconds:9.3}  {}", text.as_ref());
        }
    }
}

/// What the settings of all processes have in common.
pub struct Plan {
    pub machines: usize,
    /// Further machines with a proxy alone. They reach controllers only through the relays at `relay_port`.
    pub behind_relays: usize,
    /// Lines added under `[bounds]`.
    pub bounds: String,
    /// Further contracts, each in quotes with a comma behind it.
    pub contracts: String,
    pub heartbeat_ms: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            machines: 3,
            behind_relays: 0,
            bounds: String::new(),
            contracts: String::new(),
            heartbeat_ms: 1500,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum Role {
    Controller,
    Proxy,
}

pub struct Cluster {
    pub folder: PathBuf,
    pub record: Record,
    plan: Plan,
    net: (u8, u8),
    port: u16,
    processes: Vec<(Role, usize, Child)>,
}

/// Sends a signal by the shell's own `kill`.
pub fn signal(pid: u32, name: &str) {
    _ = Command::new("sh")
        .arg("-c")
        .arg(format!("kill -{name} {pid}"))
        .stderr(Stdio::null())
        .status();
}

fn is_free(ip: Ipv4Addr, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_ok()
}

impl Cluster {
    pub fn new(plan: Plan, record: Record) -> std::io::Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("rookpulley-review-{pid}"));
        fs::create_dir_all(&folder)?;
        let net = ((pid >> 8) as u8 % 200 + 20, pid as u8);
        let mut cluster = Self {
            folder,
            record,
            plan,
            net,
            port: 0,
            processes: Vec::new(),
        };
        let start = 12_000 + (pid % 500) as u16 * 24;
        let free = (0..400u16).map(|step| start + step * 24).find(|first| {
            (0..cluster.plan.machines + cluster.plan.behind_relays)
                .all(|machine| (0..24).all(|offset| is_free(cluster.ip(machine), first + offset)))
        });
        cluster.port = free.ok_or_else(|| std::io::Error::other("no free ports"))?;
        Ok(cluster)
    }

    pub fn ip(&self, machine: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, machine as u8 + 1)
    }

    /// A loopback address for a stand-in, outside the machines.
    pub fn other_ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, 100 + number)
    }

    fn at(&self, machine: usize, offset: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(machine)), self.port + offset)
    }

    /// The port that machines behind relays take for that of the controllers.
    pub fn relay_port(&self) -> u16 {
        self.port + 20
    }

    /// The port at which controllers listen for proxies.
    pub fn proxy_port(&self) -> u16 {
        self.port
    }

    pub fn front(&self, machine: usize) -> SocketAddr {
        self.at(machine, 16)
    }

    pub fn readiness(&self, machine: usize) -> SocketAddr {
        self.at(machine, 17)
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        self.at(machine, 18)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.plan.machines)
            .map(|machine| self.control(machine))
            .collect()
    }

    pub fn machines(&self) -> usize {
        self.plan.machines
    }

    fn name(&self, role: Role, machine: usize) -> String {
        let role = if role == Role::Controller {
            "office"
        } else {
            "courier"
        };
        format!("{role}-{}", machine + 1)
    }

    pub fn data(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("office-{}.data", machine + 1))
    }

    fn settings(&self, role: Role, machine: usize, first: bool) -> String {
        let (name, role_name) = match role {
            Role::Controller => ("control_plane", "office"),
            Role::Proxy => ("edge", "courier"),
        };
        let seeds: Vec<String> = (0..self.plan.machines.min(3))
            .map(|m| format!("\"{}\"", self.control(m)))
            .collect();
        let zones = ["north", "east", "south"];
        let listen = match role {
            Role::Controller => format!("controlPlane = \"{}\"\n", self.control(machine)),
            Role::Proxy => format!(
                "frontHttp = \"{}\"\nreadiness = \"{}\"\n",
                self.front(machine),
                self.readiness(machine)
            ),
        };
        let data = match role {
            Role::Controller => format!("dataDirectory = \"{}\"\n", self.data(machine).display()),
            Role::Proxy => String::new(),
        };
        let plan = &self.plan;
        let port = if machine < plan.machines {
            self.port
        } else {
            self.relay_port()
        };
        format!(
            "nodeName = \"edge-{zone}-{number}\"\nrole = \"{role_name}\"\nmachineClass = \"edge\"\nserves = [\"{name}\"]\n\
             ipAddress = \"{ip}\"\nzone = \"{zone}\"\nregion = \"coast\"\ninternalPortRange = [{port},{last}]\n\
             seedNodes = [{seeds}]\nfirstStart = {first}\nlossCounted = true\n{data}\
             discoverySource = \"self_registration\"\nentryMode = \"virtual_ip\"\nheartbeatMs = {beat}\n\
             activeContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",{contracts}\"coord\"]\n\
             configMode = \"highest\"\n[zones]\nnorth = \"coast\"\neast = \"coast\"\nsouth = \"coast\"\n\
             [listenAddresses]\n{listen}[limits]\ncpuShare = 0.35\ncpuCores = 1\nmemoryMb = 260\nmaxOpenFiles = 4100\n\
             linkMbps = 1000.0\ndiskMb = 64\n[faultTolerance]\nmachineLosses = 1\nzones = 0\nregionLosses = 0\n\
             [bounds]\nseedLagS = 3\naddressReuseS = 2\ncontactMs = 3000\nackDeadlineMs = 5000\ncatchUpS = 4\n\
             drainMs = 2500\ngracePeriodS = 6\nlossSlackMs = 200\nconfigApplyMs = 2500\ndowngradeSlackMs = 250\n\
             maxStretchMs = 8000\nretryBudgetRatio = 0.2\nretryWindowS = 10\nretryBudgetSlack = 64\nrecoveryS = 15\n\
             historyRetentionS = 20\nreleaseMs = 1500\n{bounds}",
            ip = self.ip(machine),
            zone = zones[machine % 3],
            number = machine / 3 + 1,
            port = port,
            last = port + (if machine < plan.machines { 15 } else { 2 }),
            seeds = seeds.join(","),
            beat = plan.heartbeat_ms,
            contracts = plan.contracts,
            bounds = plan.bounds,
        )
    }

    /// Starts a process with the command of `deploy/system.toml`.
    pub fn start(&mut self, role: Role, machine: usize, first: bool) -> std::io::Result<()> {
        let name = self.name(role, machine);
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(role, machine, first))?;
        let program = match role {
            Role::Controller => "target/release/rookpulley-controller",
            Role::Proxy => "target/release/rookpulley-proxy",
        };
        if role == Role::Controller {
            fs::create_dir_all(self.data(machine))?;
        }
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("ROOKPULLEY_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .line(format!("start {name}, process {}", child.id()));
        self.processes.push((role, machine, child));
        Ok(())
    }

    pub fn start_all(&mut self) -> std::io::Result<()> {
        for machine in 0..self.plan.machines {
            self.start(Role::Controller, machine, true)?;
        }
        for machine in 0..self.plan.machines + self.plan.behind_relays {
            self.start(Role::Proxy, machine, true)?;
        }
        Ok(())
    }

    pub fn pid(&self, role: Role, machine: usize) -> Option<u32> {
        let mut processes = self.processes.iter();
        let found = processes.find(|(r, m, _)| *r == role && *m == machine);
        found.map(|(_, _, child)| child.id())
    }

    /// Sends a signal to a process that was started here.
    pub fn signal(&self, role: Role, machine: usize, name: &str) {
        if let Some(pid) = self.pid(role, machine) {
            self.record
                .line(format!("SIG{name} to {}", self.name(role, machine)));
            signal(pid, name);
        }
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, role: Role, machine: usize) {
        let position = self
            .processes
            .iter()
            .position(|(r, m, _)| *r == role && *m == machine);
        if let Some(position) = position {
            let (_, _, mut child) = self.processes.swap_remove(position);
            _ = child.kill();
            _ = child.wait();
            self.record
                .line(format!("killed {}", self.name(role, machine)));
        }
    }

    /// The machines of the chain from head to tail, if it has three. A script aims by it; nothing is judged by it.
    pub fn chain_order(&self) -> Option<Vec<usize>> {
        let second = Duration::from_secs(1);
        let view = |machine| {
            http::control(
                self.control(machine),
                second,
                "GET",
                "/rookpulley/show/view",
                "",
            )
            .ok()
        };
        let text = (0..self.plan.machines).find_map(view)?.text();
        let members = &text[text.find("\"members\"")?..];
        let place = |machine| Some((members.find(&format!("{}:", self.ip(machine)))?, machine));
        let mut order: Vec<(usize, usize)> = (0..self.plan.machines).filter_map(place).collect();
        order.sort_unstable();
        let order: Vec<usize> = order.into_iter().map(|(_, machine)| machine).collect();
        self.record.line(format!(
            "the chain: machines {:?}",
            order.iter().map(|machine| machine + 1).collect::<Vec<_>>()
        ));
        (order.len() == 3).then_some(order)
    }

    /// Sends a configuration, to one controller after the other, until it is acknowledged. Returns whether it was.
    pub fn configure(&self, body: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        let mut machine = 0;
        while Instant::now() < until {
            let to = self.control(machine % self.plan.machines);
            let answer = http::control(
                to,
                Duration::from_secs(1),
                "PUT",
                "/rookpulley/configuration",
                body,
            );
            let told = match &answer {
                Ok(answer) => answer.status().to_string(),
                Err(error) => error.to_string(),
            };
            let version = http::number(body, "configVersion").unwrap_or(0);
            self.record
                .line(format!("operator: configuration {version} to {to}: {told}"));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            machine += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until a proxy says that it is ready.
    pub fn wait_ready(&self, machine: usize, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            let second = Duration::from_secs(1);
            let answer = http::call(
                self.readiness(machine),
                second,
                "GET",
                "/rookpulley/readiness",
                &[("Host", "platform"), ("Connection", "close")],
                b"",
            );
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.record
                    .line(format!("courier-{} is ready", machine + 1));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, _, child) in &mut self.processes {
            _ = child.kill();
            _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            _ = fs::remove_dir_all(&self.folder);
        }
    }
}
