//! Real processes of the router.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

/// The program of the deploy file, run in the repository's root.
const PROGRAM: &str = "target/release/godwitpost-platform";

// A process ends with the one that started it, also if that is killed.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

// From the system's C library, which the standard library links.
unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Has a process that is about to start end with this one. To be called between fork and exec,
/// where the one call that it makes is allowed.
///
/// # Errors
///
/// Returns none.
pub fn end_with_parent() -> std::io::Result<()> {
    // SAFETY: the call takes numbers only.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

/// The addresses of one instance.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    metrics: SocketAddr,
    peers: SocketAddr,
    forwards: SocketAddr,
}

/// Instances of the router, which end with this value.
pub struct Fleet {
    pub addresses: Vec<Addresses>,
    children: Vec<Option<Child>>,
    folder: PathBuf,
}

// Returns free ports of a loopback address of this run's own, which no outgoing connection
// takes while an instance is down.
fn free_addresses(count: usize) -> Vec<Addresses> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let bind = |_| TcpListener::bind((Ipv4Addr::new(127, 64 + high % 64, low, 9), 0));
    let bound: Vec<TcpListener> = (0..count * 5)
        .map(|one| bind(one).expect("a free port"))
        .collect();
    let all: Vec<SocketAddr> = bound
        .iter()
        .map(|one| one.local_addr().expect("an address"))
        .collect();
    all.chunks(5)
        .map(|five| Addresses {
            front: five[0],
            ready: five[1],
            metrics: five[2],
            peers: five[3],
            forwards: five[4],
        })
        .collect()
}

impl Fleet {
    /// Starts instances and waits until all are ready; `None` if they aren't in time.
    pub fn start(store: &Store, count: usize) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("godwitpost-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let addresses = free_addresses(count);
        let mut fleet = Self {
            children: (0..count).map(|_| None).collect(),
            addresses,
            folder,
        };
        for index in 0..count {
            fleet.write_settings(store, index);
        }
        fleet.start_all();
        fleet
            .wait_until_ready(Duration::from_secs(15))
            .then_some(fleet)
    }

    // The figures are those of the deployment's settings (`fleetbench wire`), through the
    // template in deploy/settings.yaml.
    fn write_settings(&self, store: &Store, index: usize) {
        let own = self.addresses[index];
        let seeds: String = self
            .addresses
            .iter()
            .take(3)
            .map(|one| format!("  - \"{}\"\n", one.peers))
            .collect();
        let text = format!(
            "name: \"edge-sapporo-{index}\"\nzone: \"sapporo\"\nregions:\n  \"sapporo\": \"hokkaido\"\n\
             listen:\n  callers: \"{}\"\n  ready: \"{}\"\n  metrics: \"{}\"\n  peers: \"{}\"\n  forwards: \"{}\"\n\
             ready_path: /api/readyz\nlog: \"{}\"\nseeds:\n{seeds}revocation: 5000ms\nversions: 2000ms\n\
             leaving: 2000ms\nheartbeat: 1200ms\nrefresh: 1s\nbalancer_lag: 2500ms\ngrace: 8s\n\
             retries:\n  ratio: 0.2\n  allowance: 2\n  window: 10s\nload_bound: 2\nmemory_mb: 260\n\
             link_mbps: 1000\nthreads: 1\nlog_level: info\n",
            own.front, own.ready, own.metrics, own.peers, own.forwards, store.address,
        );
        let mut file = File::create(self.settings_path(index)).expect("a settings file");
        file.write_all(text.as_bytes()).expect("a settings file");
    }

    fn settings_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("settings-{index}.yaml"))
    }

    /// Starts all instances that don't run.
    pub fn start_all(&mut self) {
        for index in 0..self.children.len() {
            if self.children[index].is_some() {
                continue;
            }
            let log = File::options()
                .append(true)
                .create(true)
                .open(self.folder.join(format!("log-{index}.txt")));
            let mut command = Command::new(PROGRAM);
            // SAFETY: see `end_with_parent`.
            unsafe { command.pre_exec(end_with_parent) };
            let child = command
                .env("GODWITPOST_CONFIG", self.settings_path(index))
                .env("MIMALLOC_ALLOW_THP", "0")
                .stdin(Stdio::null())
                .stdout(log.expect("a log"))
                .spawn();
            self.children[index] = child.ok();
        }
    }

    /// Kills all instances at once.
    pub fn kill_all(&mut self) {
        for child in self.children.iter_mut().flatten() {
            drop(child.kill());
        }
        for child in &mut self.children {
            if let Some(mut child) = child.take() {
                drop(child.wait());
            }
        }
    }

    /// Waits until all instances answer the balancer's check with 200.
    pub fn wait_until_ready(&self, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        let mut waiting = self.addresses.clone();
        while Instant::now() < until {
            waiting.retain(|one| !is_ready(one));
            if waiting.is_empty() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns whether all processes still run.
    pub fn all_run(&mut self) -> bool {
        self.children.iter_mut().all(|child| {
            child
                .as_mut()
                .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
        })
    }
}

/// Returns whether an instance says that it is ready.
pub fn is_ready(one: &Addresses) -> bool {
    let request = b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    http::call(one.ready, request, Duration::from_millis(500))
        .is_some_and(|answer| answer.status() == 200)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
        if std::env::var_os("KEEP").is_none() {
            drop(std::fs::remove_dir_all(&self.folder));
        }
    }
}

/// Returns the first configuration of a case, with a route for orders, which are unsafe, and
/// one for look-ups, which are safe, as the site has them.
pub fn configuration() -> String {
    version(7, "key-a", "3000")
}

/// Returns a version of the configuration, with the only key of the tenant `asahikawa` and the
/// text of the number `HeaderTimeoutMs`.
pub fn version(version: u64, key: &str, header_timeout_ms: &str) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[\
         {{\"Name\":\"print-order\",\"Host\":\"shop.example\",\"PathPrefix\":\"/order/\",\"Type\":\"unsafe\",\
         \"TimeoutMs\":600,\"SloMs\":100,\"Priority\":2,\"Service\":\"franchise-desk\",\"Attempts\":1,\
         \"Public\":false,\"Affinity\":false,\"Resumable\":false}},\
         {{\"Name\":\"stock-check\",\"Host\":\"shop.example\",\"PathPrefix\":\"/stock/\",\"Type\":\"safe\",\
         \"TimeoutMs\":600,\"SloMs\":100,\"Priority\":2,\"Service\":\"franchise-desk\",\"Attempts\":2,\
         \"Public\":false,\"Affinity\":false,\"Resumable\":false}},\
         {{\"Name\":\"route-chapter-draft\",\"Host\":\"shop.example\",\"PathPrefix\":\"/draft/\",\"Type\":\"stream\",\
         \"TimeoutMs\":15000,\"SloMs\":800,\"Priority\":0,\"Service\":\"franchise-desk\",\"Attempts\":2,\
         \"Public\":false,\"Affinity\":false,\"Resumable\":true,\"ItlTargetMs\":400}}],\
         \"Services\":[{{\"Name\":\"franchise-desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":96,\
         \"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":{header_timeout_ms},\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"asahikawa\",\"ApiKeys\":[\"{key}\"],\"Priority\":1}},\
         {{\"Name\":\"otaru\",\"ApiKeys\":[\"key-o\"],\"Priority\":1}}]}}"
    )
}

/// Returns a request for one of the routes of [`configuration`].
pub fn request(method: &str, target: &str, id: &str, key: &str, body: &str, more: &str) -> Vec<u8> {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} {target} HTTP/1.1\r\nHost: shop.example\r\nGodwitpost-Attempt-Id: {id}\r\n\
         Godwitpost-Deadline-Ms: 600\r\nApi-Key: {key}\r\n{more}{length}\r\n{body}"
    )
    .into_bytes()
}
