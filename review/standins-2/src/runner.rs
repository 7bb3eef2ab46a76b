//! A stand-in of a runner: registers itself in the store and answers requests.

use std::io;
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, read_body, read_head, respond};
use crate::instance::free_address;
use crate::record::Record;
use crate::store::Store;

/// The interval of its entries, as the settings say, and how many may be missing before the
/// store removes the entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const MISSED_HEARTBEATS: u32 = 3;

/// How often the listener looks for connections.
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);

/// Answers a request that the runner runs; returns whether the connection goes on.
pub type Handler = fn(&Runner, &Head, &[u8], &mut TcpStream) -> io::Result<bool>;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u128,
    pub target: String,
}

struct Inner {
    id: Mutex<String>,
    born_ms: Mutex<u128>,
    number: usize,
    service: &'static str,
    zone: &'static str,
    slots: u32,
    address: SocketAddrV4,
    handler: Handler,
    store: Store,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicUsize,
    starts: AtomicU32,
    is_up: AtomicBool,
    is_listening: AtomicBool,
    is_leaving: AtomicBool,
    // For handlers.
    counter: AtomicUsize,
}

/// A handle to a runner.
#[derive(Clone)]
pub struct Runner(Arc<Inner>);

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

impl Runner {
    pub fn start(
        number: usize,
        service: &'static str,
        zone: &'static str,
        slots: u32,
        handler: Handler,
        store: &Store,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> io::Result<Self> {
        let runner = Self(Arc::new(Inner {
            id: Mutex::default(),
            born_ms: Mutex::default(),
            number,
            service,
            zone,
            slots,
            address: free_address(),
            handler,
            store: store.clone(),
            record: record.clone(),
            runs: Arc::clone(runs),
            connections: Mutex::default(),
            running: AtomicUsize::new(0),
            starts: AtomicU32::new(0),
            is_up: AtomicBool::new(false),
            is_listening: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            counter: AtomicUsize::new(0),
        }));
        runner.begin()?;
        let beating = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.0.is_up.load(Ordering::SeqCst) {
                    beating.write_entry();
                }
            }
        });
        Ok(runner)
    }

    // Begins an incarnation with an id of its own.
    fn begin(&self) -> io::Result<()> {
        let inner = &self.0;
        let starts = inner.starts.fetch_add(1, Ordering::SeqCst);
        let port = inner.address.port();
        *inner.id.lock().expect("the id") = format!("i-{port:05}-{starts}");
        *inner.born_ms.lock().expect("the start") = unix_ms();
        let listener = TcpListener::bind(inner.address)?;
        listener.set_nonblocking(true)?;
        inner.is_up.store(true, Ordering::SeqCst);
        inner.is_listening.store(true, Ordering::SeqCst);
        let served = self.clone();
        thread::spawn(move || served.listen(&listener));
        self.write_entry();
        inner.record.line(&format!("runner {} started", self.id()));
        Ok(())
    }

    fn listen(&self, listener: &TcpListener) {
        while self.0.is_up.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    drop(stream.set_nonblocking(false));
                    drop(stream.set_nodelay(true));
                    if let Ok(kept) = stream.try_clone() {
                        self.0
                            .connections
                            .lock()
                            .expect("the connections")
                            .push(kept);
                    }
                    let runner = self.clone();
                    thread::spawn(move || runner.serve(stream));
                }
                Err(_) => thread::sleep(ACCEPT_PAUSE),
            }
        }
        self.0.is_listening.store(false, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        let id = self.id();
        while let Ok(Some(head)) = read_head(&mut stream) {
            let Ok(body) = read_body(&mut stream, &head) else {
                break;
            };
            let attempt = head.get("godwitpost-attempt-id").unwrap_or_default();
            let expected = head.get("godwitpost-expect-instance");
            if expected.is_some_and(|expected| expected != id) {
                let headers =
                    format!("Godwitpost-Attempt-Id: {attempt}\r\nGodwitpost-Instance-Id: {id}\r\n");
                if respond(&mut stream, "421 Misdirected Request", &headers, b"").is_err() {
                    break;
                }
                continue;
            }
            let at_ms = self.0.record.now_ms();
            self.0.runs.lock().expect("the runs").push(Run {
                at_ms,
                target: head.target().to_owned(),
            });
            self.0.record.line(&format!("run {attempt} at runner {id}"));
            self.0.running.fetch_add(1, Ordering::SeqCst);
            let goes_on = (self.0.handler)(self, &head, &body, &mut stream);
            self.0.running.fetch_sub(1, Ordering::SeqCst);
            if !matches!(goes_on, Ok(true)) {
                break;
            }
        }
        // A handle to it is kept for crashes, so it has to be closed.
        drop(stream.shutdown(Shutdown::Both));
    }

    pub fn id(&self) -> String {
        self.0.id.lock().expect("the id").clone()
    }

    pub fn record(&self) -> &Record {
        &self.0.record
    }

    /// Returns its number among the runners.
    pub fn number(&self) -> usize {
        self.0.number
    }

    /// Counts calls, for handlers that do something at each so many of them.
    pub fn count(&self) -> usize {
        self.0.counter.fetch_add(1, Ordering::SeqCst)
    }

    /// Returns the headers that sound answers to a request have.
    pub fn headers(&self, head: &Head) -> String {
        let attempt = head.get("godwitpost-attempt-id").unwrap_or_default();
        let running = self.0.running.load(Ordering::SeqCst);
        format!(
            "Godwitpost-Attempt-Id: {attempt}\r\nGodwitpost-Server-Stamp: {}.{attempt}\r\n\
             Godwitpost-Instance-Load: {running},0,{}\r\nKeep-Alive: timeout=15\r\n",
            self.id(),
            self.0.slots
        )
    }

    fn entry(&self, state: &str) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":{},\"State\":\"{state}\",\"ColdLeftMs\":0,\"Seq\":1,\"born\":{}}}",
            self.0.service,
            self.0.address,
            self.0.zone,
            self.0.slots,
            self.0.born_ms.lock().expect("the start")
        )
    }

    fn write_entry(&self) {
        let is_leaving = self.0.is_leaving.load(Ordering::SeqCst);
        let entry = self.entry(if is_leaving { "draining" } else { "ready" });
        self.0
            .store
            .put("keyed.servers", &self.id(), entry.as_bytes());
    }

    /// Reports that it leaves.
    pub fn drain(&self) {
        self.0.is_leaving.store(true, Ordering::SeqCst);
        self.write_entry();
    }

    /// Ends for good: it accepts nothing more, closes its connections one after the other, in
    /// the order in which they were opened, and removes its entry.
    pub fn end(&self, pause: Duration) {
        let inner = &self.0;
        inner.is_up.store(false, Ordering::SeqCst);
        while inner.is_listening.load(Ordering::SeqCst) {
            thread::sleep(ACCEPT_PAUSE);
        }
        inner.record.line(&format!("runner {} ends", self.id()));
        let connections: Vec<_> = {
            let mut connections = inner.connections.lock().expect("the connections");
            connections.drain(..).collect()
        };
        for stream in connections {
            drop(stream.shutdown(Shutdown::Both));
            thread::sleep(pause);
        }
        inner.store.put("keyed.servers", &self.id(), b"");
        inner
            .record
            .line(&format!("runner {} has ended", self.id()));
    }

    /// Ends the process of the runner: it accepts nothing, and its connections close. It is
    /// back under another id after a while, and the store removes the entry that it had.
    pub fn crash(&self, back_after: Duration) {
        let inner = &self.0;
        if !inner.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        while inner.is_listening.load(Ordering::SeqCst) {
            thread::sleep(ACCEPT_PAUSE);
        }
        let id = self.id();
        inner.record.line(&format!("runner {id} crashed"));
        for stream in inner.connections.lock().expect("the connections").drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
        let store = inner.store.clone();
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * MISSED_HEARTBEATS);
            store.put("keyed.servers", &id, b"");
        });
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(back_after);
            runner.begin().expect("its address is free");
        });
    }
}
