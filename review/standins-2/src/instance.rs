//! One process of the system, started as the deploy file says.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_head;
use crate::sys;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/godwitpost-platform";

/// How long an instance may take to be ready.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Returns an address with a free port, below the ports of outgoing connections.
pub fn free_address() -> SocketAddrV4 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let base = 10_000 + (std::process::id() % 180) as u16 * 100;
    loop {
        let port = base + NEXT.fetch_add(1, Ordering::Relaxed) % 100;
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub struct Instance {
    pub name: String,
    pub callers: SocketAddrV4,
    ready: SocketAddrV4,
    metrics: SocketAddrV4,
    pub peers: SocketAddrV4,
    forwards: SocketAddrV4,
    zone: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Instance {
    pub fn new(folder: &Path, number: usize, zone: &'static str) -> Self {
        Self {
            name: format!("edge-{zone}-{number}"),
            callers: free_address(),
            ready: free_address(),
            metrics: free_address(),
            peers: free_address(),
            forwards: free_address(),
            zone,
            settings: folder.join(format!("{number}.yaml")),
            log: folder.join(format!("{number}.log")),
            child: None,
        }
    }

    /// Writes the settings, as the template of the deploy file gives them for a deployment of
    /// six machines, and starts the process.
    pub fn start(
        &mut self,
        store: std::net::SocketAddr,
        seeds: &[SocketAddrV4],
    ) -> std::io::Result<()> {
        let seeds: String = seeds.iter().map(|one| format!("  - \"{one}\"\n")).collect();
        let text = format!(
            "name: \"{}\"\nzone: \"{}\"\nregions:\n  \"sapporo\": \"hokkaido\"\n  \
             \"asahikawa\": \"hokkaido\"\n  \"otaru\": \"hokkaido\"\n  \"kushiro\": \"hokkaido\"\n\
             listen:\n  callers: \"{}\"\n  ready: \"{}\"\n  metrics: \"{}\"\n  peers: \"{}\"\n  \
             forwards: \"{}\"\nready_path: /api/readyz\nlog: \"{store}\"\nseeds:\n{seeds}\
             revocation: 5000ms\nversions: 2000ms\nleaving: 2000ms\nfirst_start: true\n\
             heartbeat: 1200ms\nrefresh: 1s\nbalancer_lag: 2500ms\ngrace: 8s\nretries:\n  \
             ratio: 0.2\n  allowance: 2\n  window: 10s\nload_bound: 2\nmemory_mb: 260\n\
             link_mbps: 1000.0\nthreads: 1\nlog_level: info\n",
            self.name, self.zone, self.callers, self.ready, self.metrics, self.peers, self.forwards,
        );
        std::fs::write(&self.settings, text)?;
        let mut command = Command::new(PROGRAM);
        // SAFETY: the call between fork and exec allocates nothing and takes no lock.
        unsafe { command.pre_exec(sys::end_with_parent) };
        let child = command
            .env("GODWITPOST_CONFIG", &self.settings)
            .env("MIMALLOC_ALLOW_THP", "0")
            .stdin(Stdio::null())
            .stdout(File::create(&self.log)?)
            .stderr(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until it says that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + START_LIMIT;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            std::io::Write::write_all(&mut stream, b"GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n")?;
            Ok(read_head(&mut stream)?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            sys::signal(child.id(), sys::SIGTERM);
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            sys::signal(child.id(), sys::SIGKILL);
            drop(child.wait());
        }
    }
}
