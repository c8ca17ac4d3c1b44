//! The project's own programs as processes, started with the commands of the deploy file.

use std::fs;
use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::site;

const DEPLOY_FILE: &str = "deploy/system.toml";
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Processes that were started and have not been waited for, so that none outlives the case.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_all() {
    for id in RUNNING.lock().expect("no holder panics").drain(..) {
        kill(id);
    }
}

/// Kills a process.
pub fn kill(id: u32) {
    let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
}

/// Memory that a process uses, in kB.
pub fn memory_kb(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}

/// The command of a role in the deploy file.
fn command_of(role: &str) -> io::Result<Vec<String>> {
    let text = fs::read_to_string(DEPLOY_FILE)?;
    let section = text.split(&format!("[roles.{role}]")).nth(1).unwrap_or_default();
    let mut lines = section.lines().take_while(|line| !line.starts_with('['));
    let run = lines.find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    let run = run.ok_or_else(|| io::Error::other(format!("{DEPLOY_FILE}: no role {role}")))?;
    Ok(run.split(' ').map(str::to_owned).collect())
}

/// Loopback addresses of the machines of a case, of which none has a listener on the ports in use.
pub struct Addresses {
    prefix: String,
    next: u8,
}

impl Addresses {
    /// Looks for a free block of addresses.
    pub fn allocate() -> io::Result<Addresses> {
        let process = std::process::id();
        for attempt in 0..50 {
            let number = process.wrapping_add(attempt * 37);
            let prefix = format!("127.{}.{}", 20 + number % 200, 1 + number / 200 % 250);
            let is_free = (1..=12).all(|host| {
                let ports = [site::AGENT_PORT, site::METRICS_PORT, site::FRONT_PORT];
                let all = ports.iter().chain([&site::READY_PORT]);
                all.clone().all(|port| TcpListener::bind(format!("{prefix}.{host}:{port}")).is_ok())
            });
            if is_free {
                return Ok(Addresses { prefix, next: 0 });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// The address of the next machine.
    pub fn next(&mut self) -> String {
        self.next += 1;
        format!("{}.{}", self.prefix, self.next)
    }
}

/// A temporary folder that is removed when dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create() -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("mastichaven-review-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A process of the system. Dropping it kills it.
pub struct Program {
    name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Program {
    fn start(folder: &Folder, name: &str, role: &'static str, text: &str) -> io::Result<Program> {
        let settings = folder.0.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = folder.0.join(format!("{name}.log"));
        let child = spawn(role, &settings, &log)?;
        Ok(Program { name: name.to_owned(), role, settings, log, child })
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().expect("no holder panics").retain(|id| *id != self.child.id());
    }

    /// Stops the process with SIGTERM and waits for its end.
    pub fn terminate(&mut self) {
        let _ = Command::new("kill").arg("-TERM").arg(self.child.id().to_string()).status();
        let _ = self.child.wait();
    }

    /// Starts it again with the same settings.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.child = spawn(self.role, &self.settings, &self.log)?;
        Ok(())
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Lines of its log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }

    /// Name of the host.
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(role: &str, settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let command = command_of(role)?;
    let log = File::options().create(true).append(true).open(log)?;
    let child = Command::new(&command[0])
        .args(&command[1..])
        .env("MASTICHAVEN_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log.try_clone()?))
        .stderr(Stdio::from(log))
        .spawn()?;
    RUNNING.lock().expect("no holder panics").push(child.id());
    Ok(child)
}

/// An entry.
pub struct Entry {
    pub program: Program,
    pub front: SocketAddr,
    ready: SocketAddr,
}

impl Entry {
    /// Starts an entry on `ip`.
    pub fn start(
        folder: &Folder,
        name: &str,
        ip: &str,
        store: SocketAddr,
        seeds: &[String],
    ) -> io::Result<Entry> {
        let at = |port| SocketAddr::new(ip.parse::<IpAddr>().expect("an address"), port);
        let (front, ready) = (at(site::FRONT_PORT), at(site::READY_PORT));
        let role = format!("callers = \"{front}\"\nready = \"{ready}\"");
        let settings = site::settings(name, ip, store, seeds, &role);
        Ok(Entry { program: Program::start(folder, name, "entry", &settings)?, front, ready })
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        client::get_status(self.ready, "/ready") == Some(200)
    }

    /// Waits until it is ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        if wait_until(READY_TIMEOUT, || self.is_ready()) {
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::TimedOut, format!("{} not ready", self.program.name())))
    }
}

/// Starts an agent beside the runner at `endpoint`.
pub fn start_agent(
    folder: &Folder,
    name: &str,
    endpoint: SocketAddr,
    store: SocketAddr,
    seeds: &[String],
) -> io::Result<Program> {
    let role = format!("endpoint = \"{endpoint}\"\nservice = \"{}\"", site::WRITER);
    let settings = site::settings(name, &endpoint.ip().to_string(), store, seeds, &role);
    Program::start(folder, name, "agent", &settings)
}

/// Waits until `condition` holds; false if it does not within `limit`.
pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let ends_at = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= ends_at {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}
