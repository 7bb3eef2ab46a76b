//! A stand-in of a runner of a plain service, which registers itself in the store.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// How often a runner writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How long a request takes.
const WORK: Duration = Duration::from_millis(15);

/// A request that a runner began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub runner: String,
    pub request: String,
    pub tenant: String,
    pub target: String,
    /// Seconds since the start of the record.
    pub at: f64,
}

/// What a runner does with a request, beside running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    Sound,
    /// The runner ends when it begins to run the request, and is back after this time.
    Crash(Duration),
    /// After the whole answer, the runner sends a further one: late, when the next request
    /// has arrived on the connection.
    Extra,
}

/// Decides what a runner does with a request.
pub type Decide = Arc<dyn Fn(&Message) -> Behavior + Send + Sync>;

/// The bytes of a further answer: those of a runner that sheds a request.
const EXTRA: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nGodwitpost-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// The ledger of all runs.
pub type Ledger = Arc<Mutex<Vec<Run>>>;

/// What all runners of a case share.
#[derive(Clone)]
pub struct Context {
    pub store: Store,
    pub ledger: Ledger,
    pub record: Record,
    pub decide: Decide,
    pub service: &'static str,
    pub slots: u32,
}

// One incarnation of a runner.
#[derive(Clone)]
struct Incarnation {
    id: String,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// Starts a runner, and starts it again after each crash.
pub fn start(context: &Context, name: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (context, name) = (context.clone(), name.to_owned());
    thread::spawn(move || {
        let mut listener = Some(listener);
        for count in 1.. {
            let incarnation = Incarnation {
                id: format!("{name}-{count}"),
                ended: Arc::default(),
                connections: Arc::default(),
            };
            let bound = listener.take().unwrap_or_else(|| bind(address));
            let down = serve(&context, &incarnation, bound, address);
            thread::sleep(down);
        }
    });
}

fn bind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

// Serves until the incarnation ends; returns how long the runner is down.
fn serve(
    context: &Context,
    incarnation: &Incarnation,
    listener: TcpListener,
    address: SocketAddr,
) -> Duration {
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock")
        .as_millis();
    context
        .record
        .line(&format!("runner {} starts at {address}", incarnation.id));
    let beating = (context.clone(), incarnation.clone());
    thread::spawn(move || {
        let (context, incarnation) = beating;
        for seq in 1.. {
            if incarnation.ended.load(Ordering::Relaxed) {
                // Three heartbeats of silence, after which the entry is removed.
                thread::sleep(HEARTBEAT * 3);
                context.store.append("keyed.servers", &incarnation.id, b"");
                return;
            }
            let entry = format!(
                "{{\"Service\":\"{}\",\"Address\":\"{address}\",\"Zone\":\"sapporo\",\
                 \"Version\":\"v1\",\"Slots\":{},\"State\":\"ready\",\"ColdLeftMs\":0,\
                 \"Seq\":{seq},\"born\":{born}}}",
                context.service, context.slots
            );
            context
                .store
                .append("keyed.servers", &incarnation.id, entry.as_bytes());
            thread::sleep(HEARTBEAT);
        }
    });
    listener.set_nonblocking(true).expect("a socket");
    let down_ms = Arc::new(AtomicUsize::new(0));
    while !incarnation.ended.load(Ordering::Relaxed) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        stream.set_nonblocking(false).expect("a socket");
        drop(stream.set_nodelay(true));
        let clone = stream.try_clone().expect("a socket");
        incarnation
            .connections
            .lock()
            .expect("the connections")
            .push(clone);
        let (context, incarnation) = (context.clone(), incarnation.clone());
        let down_ms = Arc::clone(&down_ms);
        thread::spawn(move || {
            if let Some(down) = converse(&context, &incarnation, stream)
                && !incarnation.ended.swap(true, Ordering::Relaxed)
            {
                down_ms.store(down.as_millis() as usize, Ordering::Relaxed);
            }
        });
    }
    drop(listener);
    for stream in incarnation
        .connections
        .lock()
        .expect("the connections")
        .drain(..)
    {
        drop(stream.shutdown(std::net::Shutdown::Both));
    }
    // A process that ended holds no port.
    thread::sleep(Duration::from_millis(5));
    Duration::from_millis(down_ms.load(Ordering::Relaxed) as u64)
}

// Serves a connection. Returns how long the runner is down, if it crashes.
fn converse(context: &Context, incarnation: &Incarnation, stream: TcpStream) -> Option<Duration> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let mut has_extra = false;
    while let Some(request) = http::read(&mut reader) {
        if incarnation.ended.load(Ordering::Relaxed) {
            return None;
        }
        let id = request
            .header("godwitpost-attempt-id")
            .unwrap_or("(none)")
            .to_owned();
        let echo = format!("Godwitpost-Attempt-Id: {id}\r\n");
        if request
            .header("godwitpost-expect-instance")
            .is_some_and(|name| name != incarnation.id)
        {
            writer
                .write_all(&http::response("421 Misdirected Request", &echo, b""))
                .ok()?;
            continue;
        }
        if std::mem::take(&mut has_extra) {
            context.record.line(&format!(
                "runner {} sends the late further answer; the connection's next request is {id}",
                incarnation.id
            ));
            // The router may have closed the connection by the time that the run is over.
            drop(writer.write_all(EXTRA));
        }
        let run = Run {
            runner: incarnation.id.clone(),
            request: id.clone(),
            tenant: request
                .header("godwitpost-tenant")
                .unwrap_or("(none)")
                .to_owned(),
            target: request.target().to_owned(),
            at: context.record.now(),
        };
        context.record.line(&format!(
            "runner {} runs {id} ({} of {})",
            run.runner, run.target, run.tenant
        ));
        context.ledger.lock().expect("the ledger").push(run);
        let behavior = (context.decide)(&request);
        if let Behavior::Crash(down) = behavior {
            context
                .record
                .line(&format!("runner {} crashes of {id}", incarnation.id));
            return Some(down);
        }
        thread::sleep(WORK);
        let headers = format!("{echo}Godwitpost-Server-Stamp: {}.{id}\r\n", incarnation.id);
        let body = format!("{id} by {}\n", incarnation.id);
        writer
            .write_all(&http::response("200 OK", &headers, body.as_bytes()))
            .ok()?;
        has_extra = behavior == Behavior::Extra;
    }
    None
}
