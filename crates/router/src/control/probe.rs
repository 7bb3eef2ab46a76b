//! Asks the list and the owned endpoints how they are.

use std::collections::BTreeMap;
use std::time::Duration;

use godwitpost_client::list::{self, Watch};
use godwitpost_decide::chats;
use godwitpost_decide::view::Pool;
use godwitpost_types::clock::{Moment, since};
use godwitpost_types::endpoint::{Endpoint, Report, Standing};
use godwitpost_types::id::{EndpointId, Incarnation, Offset};
use http::{Request, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{Control, Event, Io};
use crate::body;

/// How long the list holds a call while nothing in it changes.
const LIST_WAIT: Duration = Duration::from_secs(5);

/// The pause after a call that failed, and between calls to a list that knows
/// no revisions and so answers at once.
const LIST_PAUSE: Duration = Duration::from_secs(1);

/// Bytes a second that cache events of all owned engines may cost.
const CACHE_RATE: usize = 1_000;

/// How often is looked for probes that are due.
const LOOK: Duration = Duration::from_millis(500);

/// The least time between two reports of one owned endpoint.
const REPORT: Duration = Duration::from_secs(2);

/// The longest time between two reports, whatever the number of endpoints.
/// Beyond the connector's four seconds for an idle connection each report
/// would open a new one, which costs more bytes than it saves.
const REPORT_MOST: Duration = Duration::from_millis(3500);

/// Bytes a second that reports of all owned endpoints may cost. With a fixed
/// two seconds the ten endpoints of the letter's size cost 3.5 KB.
const REPORT_RATE: usize = 2_000;

/// Bytes of one report on the wire with all headers, as measured there.
const REPORT_BYTES: usize = 700;

/// How long an endpoint may take to answer a probe.
const WAIT: Duration = Duration::from_secs(1);

/// Bytes of a probe's answer that are read.
const PROBE_BYTES: usize = 256 << 10;

/// When each owned endpoint was last asked, and how far its events were read.
#[derive(Debug, Default)]
pub(super) struct Probes {
    looked: Moment,
    asked: BTreeMap<EndpointId, Moment>,
    // When an engine's cache events are next asked for.
    due: BTreeMap<EndpointId, Moment>,
    events: BTreeMap<EndpointId, (Incarnation, Offset)>,
}

/// An engine's cache events from an offset on.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct CachePage {
    next: Offset,
    events: Vec<CacheEvent>,
}

#[derive(Clone, Debug, Deserialize)]
struct CacheEvent {
    kind: CacheKind,
    prefix: String,
    #[serde(default)]
    tokens: u32,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum CacheKind {
    Stored,
    Evicted,
}

#[derive(Deserialize)]
struct ReportAnswer {
    taken_ms: u64,
    incarnation: Incarnation,
    standing: Standing,
    requests: u32,
    work: u64,
    models: Option<Vec<String>>,
}

/// What an endpoint answered when asked for its report.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    /// The report.
    pub(super) report: Report,
    /// The models that it names, each `name@weights`; plain services name none.
    pub(super) models: Option<Vec<String>>,
    /// The answer's size on the wire, about.
    pub(super) bytes: usize,
}

/// Follows the list for ever.
pub(super) async fn list(io: Io, client: list::Client) {
    let mut watch = Watch::new(client);
    loop {
        let listed = watch.next(LIST_WAIT).await;
        let pause = listed.is_err() || !watch.waits();
        match listed {
            Ok(listing) => {
                if io.events.send(Event::Listing(listing)).await.is_err() {
                    return;
                }
            }
            Err(error) => log::debug!(error:% = error; "instance list not read"),
        }
        if pause {
            io.timer.until(io.now() + LIST_PAUSE).await;
        }
    }
}

impl Control {
    /// Asks the owned endpoints that are due.
    pub(super) fn probe(&mut self, now: Moment) {
        if since(now, self.probes.looked) < LOOK {
            return;
        }
        self.probes.looked = now;
        let view = std::sync::Arc::clone(&self.shared.snapshot().view);
        let owned: Vec<&Endpoint> = view.owned().collect();
        let period = spread(owned.len() * REPORT_BYTES, REPORT_RATE).clamp(REPORT, REPORT_MOST);
        for endpoint in owned {
            let asked = self.probes.asked.get(&endpoint.id);
            if asked.is_some_and(|at| since(now, *at) < period) {
                continue;
            }
            self.probes.asked.insert(endpoint.id, now);
            let due = self.probes.due.get(&endpoint.id);
            let due = due.is_none_or(|due| *due <= now);
            let from = self.probes.from(endpoint).filter(|_| due);
            tokio::spawn(ask(self.io.clone(), endpoint.clone(), from));
        }
        self.probes
            .asked
            .retain(|id, _| view.endpoint(*id).is_some());
        self.probes.due.retain(|id, _| view.endpoint(*id).is_some());
        self.probes
            .events
            .retain(|id, _| view.endpoint(*id).is_some());
    }

    pub(super) fn reported(
        &mut self,
        now: Moment,
        endpoint: EndpointId,
        report: &Report,
        models: Option<Vec<String>>,
    ) {
        self.endpoints.apply_report(now, endpoint, report);
        if let Some(models) = models {
            if self.models.take(now, endpoint, report, &models) {
                self.publish();
            }
            self.loaded(now, endpoint, *report, models);
        }
        self.shared
            .desk
            .with(|owner| owner.apply_report(endpoint, report));
    }

    /// Takes in cache events, for each model that the engine has: they name a
    /// prefix and no model, and a chat stays with one model.
    pub(super) fn cached(&mut self, id: EndpointId, page: &CachePage, bytes: usize) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let now = self.shared.now();
        let owned = self.probes.asked.len();
        let due = now + spread(bytes * owned, CACHE_RATE);
        self.probes.due.insert(id, due);
        self.probes.read(endpoint, page);
        let events: Vec<chats::Event> = page
            .events
            .iter()
            .flat_map(|event| {
                let models = endpoint.models.iter();
                models.filter_map(|model| event.read(endpoint, *model, now))
            })
            .collect();
        self.shared.desk.with(|owner| {
            for event in &events {
                owner.apply_cache_event(id, event);
            }
        });
    }
}

impl Probes {
    // A new incarnation counts its events from the start.
    fn from(&self, endpoint: &Endpoint) -> Option<Offset> {
        if endpoint.models.is_empty() {
            return None;
        }
        match self.events.get(&endpoint.id) {
            Some((incarnation, next)) if *incarnation == endpoint.incarnation => Some(*next),
            _ => Some(0),
        }
    }

    // A page after a gap is taken as it is: what the lost events would have
    // said shows in the order of the evictions that did arrive.
    fn read(&mut self, endpoint: &Endpoint, page: &CachePage) {
        let before = self.from(endpoint).unwrap_or(0);
        let place = (endpoint.incarnation, page.next.max(before));
        self.events.insert(endpoint.id, place);
    }
}

impl CacheEvent {
    fn read(&self, endpoint: &Endpoint, model: u64, at: Moment) -> Option<chats::Event> {
        let chat = u64::from_str_radix(&self.prefix, 16).ok()?;
        Some(chats::Event {
            chat,
            pool: Pool {
                service: endpoint.service,
                model,
            },
            kind: match self.kind {
                CacheKind::Stored => chats::Kind::Stored,
                CacheKind::Evicted => chats::Kind::Evicted,
            },
            tokens: self.tokens,
            incarnation: endpoint.incarnation,
            at,
        })
    }
}

async fn ask(io: Io, endpoint: Endpoint, from: Option<Offset>) {
    if let Some(told) = report(&io, &endpoint).await {
        let event = Event::Report(endpoint.id, told.report, told.models);
        drop(io.events.send(event).await);
    }
    let Some(from) = from else { return };
    let path = format!("/v1/cache-events?from={from}");
    if let Some((page, bytes)) = get::<CachePage>(&io, &endpoint, &path).await {
        let event = Event::CacheEvents(endpoint.id, page, bytes);
        drop(io.events.send(event).await);
    }
}

/// Asks an endpoint that another instance owns for its report.
pub(super) async fn sweep(io: Io, endpoint: Endpoint) {
    let told = report(&io, &endpoint).await;
    drop(io.events.send(Event::SweepReport(endpoint.id, told)).await);
}

async fn report(io: &Io, endpoint: &Endpoint) -> Option<Told> {
    let (answer, bytes) = get::<ReportAnswer>(io, endpoint, "/v1/report").await?;
    let report = Report {
        taken: Duration::from_millis(answer.taken_ms),
        incarnation: answer.incarnation,
        standing: answer.standing,
        requests: answer.requests,
        work: answer.work,
    };
    Some(Told {
        report,
        models: answer.models,
        bytes,
    })
}

/// Bytes of a probe beside its answer's body: two HTTP heads of about 120, and
/// TCP/IP headers with the acknowledgements.
const HEADS: usize = 400;

// Returns how long `bytes` last at a rate.
fn spread(bytes: usize, rate: usize) -> Duration {
    Duration::from_millis((bytes * 1000 / rate) as u64)
}

async fn get<T: DeserializeOwned>(io: &Io, endpoint: &Endpoint, path: &str) -> Option<(T, usize)> {
    let request = Request::get(path).body(body::full(bytes::Bytes::new()));
    let sent = io.probes.send(endpoint.address, request.ok()?, WAIT);
    let response = sent.await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let read = body::collect(response.into_body(), PROBE_BYTES);
    let bytes = tokio::time::timeout(WAIT, read).await.ok()?.ok()?;
    let size = HEADS + path.len() + bytes.len();
    serde_json::from_slice::<T>(&bytes)
        .inspect_err(|error| {
            log::debug!(endpoint:% = endpoint.name, error:% = error; "probe can't be read");
        })
        .ok()
        .map(|value| (value, size))
}
