//! Starts the project's programs as processes, with settings as a deployment renders them.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::record::Record;

/// Zone and region of everything in a case.
pub const ZONE: &str = "lagoa-a";
pub const REGION: &str = "lagoa";

/// Ports of the programs, the same on all hosts.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub agent: u16,
    pub metrics: u16,
    pub callers: u16,
    pub ready: u16,
    pub control: u16,
}

/// Hosts of a case: loopback addresses of its own, and the temporary folder for settings and logs.
#[derive(Debug)]
pub struct Hosts {
    pub ports: Ports,
    pub folder: PathBuf,
    prefix: String,
    store: SocketAddr,
}

fn are_free(ip: &str, ports: &[u16]) -> bool {
    ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
}

impl Hosts {
    /// Chooses free ports, for up to `count` hosts.
    pub fn new(store: SocketAddr, count: u8) -> io::Result<Hosts> {
        let pid = std::process::id();
        let prefix = format!("127.{}.{}", 100 + pid % 100, pid / 100 % 250);
        let base = (0..400u16).map(|n| 20_000 + n * 16).find(|base| {
            let ports: Vec<u16> = (0..5).map(|n| base + n).collect();
            (1..=count).all(|host| are_free(&format!("{prefix}.{host}"), &ports))
        });
        let base = base.ok_or(io::ErrorKind::AddrInUse)?;
        let ports = Ports {
            agent: base,
            metrics: base + 1,
            callers: base + 2,
            ready: base + 3,
            control: base + 4,
        };
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder)?;
        Ok(Hosts { ports, folder, prefix, store })
    }

    pub fn ip(&self, host: u8) -> String {
        format!("{}.{host}", self.prefix)
    }

    /// Starts an entry on `host`; the first host is the seed of all.
    pub fn start_entry(&self, host: u8) -> io::Result<Entry> {
        let Ports { callers, ready, .. } = self.ports;
        let ip = self.ip(host);
        let name = format!("edge-{ZONE}-{host}");
        let role = format!("callers = \"{ip}:{callers}\"\nready = \"{ip}:{ready}\"\n");
        let settings = self.settings(&name, &ip, &role);
        let program = self.start("target/release/mastichaven-entry", &name, &settings)?;
        let at = |port| format!("{ip}:{port}").parse().expect("an address");
        Ok(Entry { program, callers: at(callers), ready: at(ready) })
    }

    /// Starts the agent beside the runner at `endpoint` on `host`.
    pub fn start_agent(
        &self,
        host: u8,
        endpoint: SocketAddr,
        service: &str,
    ) -> io::Result<Program> {
        let name = format!("side-{ZONE}-{host}");
        let role = format!("endpoint = \"{endpoint}\"\nservice = \"{service}\"\n");
        let settings = self.settings(&name, &self.ip(host), &role);
        self.start("target/release/mastichaven-agent", &name, &settings)
    }

    fn settings(&self, name: &str, ip: &str, role: &str) -> String {
        let Ports { agent, metrics, control, .. } = self.ports;
        format!(
            "host = \"{name}\"\nip = \"{ip}\"\nzone = \"{ZONE}\"\nstore = \"{store}\"\n\
             seeds = [\"{seed}:{control}\"]\nagent_port = {agent}\nmetrics_port = {metrics}\n\
             {role}\n\
             [regions]\n\"{ZONE}\" = \"{REGION}\"\n\n\
             [bounds]\nkey_revocation_ms = 5000\nweights_ms = 8000\nleave_ms = 2000\nstop_s = 8\n\
             repeat_ratio = 0.2\nrepeat_slack = 104\nrepeat_window_s = 10\n\n\
             [limits]\ndescriptors = 4100\nmemory_mb = 260\n",
            store = self.store,
            seed = self.ip(1),
        )
    }

    fn start(&self, binary: &str, name: &str, settings: &str) -> io::Result<Program> {
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings)?;
        let log = self.folder.join(format!("{name}.log"));
        let out = fs::OpenOptions::new().create(true).append(true).open(&log)?;
        let child = Command::new(binary)
            .arg("--direct")
            .env("MASTICHAVEN_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out)
            .spawn()?;
        Ok(Program { child })
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A process, killed when dropped.
#[derive(Debug)]
pub struct Program {
    child: Child,
}

impl Program {
    /// Sends SIGTERM, as the platform does before it removes a process.
    pub fn terminate(&self) {
        unsafe extern "C" {
            fn kill(pid: i32, signal: i32) -> i32;
        }
        const SIGTERM: i32 = 15;
        // SAFETY: the process is a child that has not been waited for, so its id is its own.
        unsafe { kill(self.child.id().cast_signed(), SIGTERM) };
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    pub program: Program,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

impl Entry {
    /// Answer to the platform's question whether the entry is ready; 0 without one.
    pub fn ready_status(&self) -> u16 {
        let asked = || -> io::Result<u16> {
            let stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            let mut connection = Connection::new(stream);
            connection.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            Ok(connection.read_response(Instant::now() + Duration::from_secs(1))?.status)
        };
        asked().unwrap_or(0)
    }

    /// Waits until the entry is ready; false if it is not within `limit`.
    pub fn wait_ready(&self, limit: Duration, record: &Record) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if self.ready_status() == 200 {
                record.line(&format!("entry {} is ready", self.callers.ip()));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        record.line(&format!("entry {} is not ready after {limit:?}", self.callers.ip()));
        false
    }
}
