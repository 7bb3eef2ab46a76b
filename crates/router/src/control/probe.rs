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
const LIST_POLL_TIME: Duration = Duration::from_secs(5);

/// The pause after a call that failed, and between calls to a list that knows
/// no revisions and so answers at once.
const LIST_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Bytes a second that cache events of all owned engines may cost.
const CACHE_EVENT_BYTES_PER_SECOND: usize = 1_000;

/// Period of checks for probes that are due.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// The least time between two reports of one owned endpoint.
const MIN_REPORT_PERIOD: Duration = Duration::from_secs(2);

/// The longest time between two reports, whatever the number of endpoints.
/// Beyond the connector's four seconds for an idle connection each report
/// would open a new one, which costs more bytes than it saves.
const MAX_REPORT_PERIOD: Duration = Duration::from_millis(3500);

/// Bytes a second that reports of all owned endpoints may cost. With a fixed
/// two seconds the ten endpoints of the letter's size cost 3.5 KB.
const REPORT_BYTES_PER_SECOND: usize = 2_000;

/// Bytes of one report on the wire with all headers, as measured there.
const ESTIMATED_REPORT_BYTES: usize = 700;

/// How long an endpoint may take to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of a probe's answer that are read.
const MAX_PROBE_RESPONSE_BYTES: usize = 256 << 10;

/// When each owned endpoint was last asked, and how far its events were read.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last_check: Moment,
    last_probe: BTreeMap<EndpointId, Moment>,
    // When an engine's cache events are next asked for.
    cache_events_due: BTreeMap<EndpointId, Moment>,
    cache_positions: BTreeMap<EndpointId, (Incarnation, Offset)>,
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
struct ReportBody {
    taken_ms: u64,
    incarnation: Incarnation,
    standing: Standing,
    requests: u32,
    work: u64,
    models: Option<Vec<String>>,
}

/// What an endpoint answered when asked for its report.
#[derive(Clone, Debug)]
pub(crate) struct ReportResponse {
    /// The report.
    pub(super) report: Report,
    /// The models that it names, each `name@weights`; plain services name none.
    pub(super) models: Option<Vec<String>>,
    /// The answer's size on the wire, about.
    pub(super) bytes: usize,
}

/// Follows the list for ever.
pub(super) async fn follow_list(io: Io, client: list::Client) {
    let mut watch = Watch::new(client);
    loop {
        let listed = watch.next(LIST_POLL_TIME).await;
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
            io.timer.until(io.now() + LIST_RETRY_PAUSE).await;
        }
    }
}

impl Control {
    /// Asks the owned endpoints that are due.
    pub(super) fn probe_endpoints(&mut self, now: Moment) {
        if since(now, self.probes.last_check) < CHECK_PERIOD {
            return;
        }
        self.probes.last_check = now;
        let view = std::sync::Arc::clone(&self.shared.snapshot().view);
        let owned: Vec<&Endpoint> = view.owned().collect();
        let period = duration_at_rate(
            owned.len() * ESTIMATED_REPORT_BYTES,
            REPORT_BYTES_PER_SECOND,
        )
        .clamp(MIN_REPORT_PERIOD, MAX_REPORT_PERIOD);
        for endpoint in owned {
            let asked = self.probes.last_probe.get(&endpoint.id);
            if asked.is_some_and(|at| since(now, *at) < period) {
                continue;
            }
            self.probes.last_probe.insert(endpoint.id, now);
            let due = self.probes.cache_events_due.get(&endpoint.id);
            let due = due.is_none_or(|due| *due <= now);
            let from = self.probes.next_event_offset(endpoint).filter(|_| due);
            tokio::spawn(probe_endpoint(self.io.clone(), endpoint.clone(), from));
        }
        self.probes
            .last_probe
            .retain(|id, _| view.endpoint(*id).is_some());
        self.probes
            .cache_events_due
            .retain(|id, _| view.endpoint(*id).is_some());
        self.probes
            .cache_positions
            .retain(|id, _| view.endpoint(*id).is_some());
    }

    pub(super) fn apply_report(
        &mut self,
        now: Moment,
        endpoint: EndpointId,
        report: &Report,
        models: Option<Vec<String>>,
    ) {
        self.endpoints.apply_report(now, endpoint, report);
        if let Some(models) = models {
            if self.models.record_report(now, endpoint, report, &models) {
                self.publish();
            }
            self.record_owned_report(now, endpoint, *report, models);
        }
        self.shared
            .owner
            .with(|owner| owner.apply_report(endpoint, report));
    }

    /// Takes in cache events, for each model that the engine has: they name a
    /// prefix and no model, and a chat stays with one model.
    pub(super) fn apply_cache_events(&mut self, id: EndpointId, page: &CachePage, bytes: usize) {
        let Some(endpoint) = self.endpoints.get(id) else {
            return;
        };
        let now = self.shared.now();
        let owned = self.probes.last_probe.len();
        let due = now + duration_at_rate(bytes * owned, CACHE_EVENT_BYTES_PER_SECOND);
        self.probes.cache_events_due.insert(id, due);
        self.probes.record_position(endpoint, page);
        let events: Vec<chats::Event> = page
            .events
            .iter()
            .flat_map(|event| {
                let models = endpoint.models.iter();
                models.filter_map(|model| event.to_chat_event(endpoint, *model, now))
            })
            .collect();
        self.shared.owner.with(|owner| {
            for event in &events {
                owner.apply_cache_event(id, event);
            }
        });
    }
}

impl Probes {
    // A new incarnation counts its events from the start.
    fn next_event_offset(&self, endpoint: &Endpoint) -> Option<Offset> {
        if endpoint.models.is_empty() {
            return None;
        }
        match self.cache_positions.get(&endpoint.id) {
            Some((incarnation, next)) if *incarnation == endpoint.incarnation => Some(*next),
            _ => Some(0),
        }
    }

    // A page after a gap is taken as it is: what the lost events would have
    // said shows in the order of the evictions that did arrive.
    fn record_position(&mut self, endpoint: &Endpoint, page: &CachePage) {
        let before = self.next_event_offset(endpoint).unwrap_or(0);
        let place = (endpoint.incarnation, page.next.max(before));
        self.cache_positions.insert(endpoint.id, place);
    }
}

impl CacheEvent {
    fn to_chat_event(&self, endpoint: &Endpoint, model: u64, at: Moment) -> Option<chats::Event> {
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

async fn probe_endpoint(io: Io, endpoint: Endpoint, from: Option<Offset>) {
    if let Some(response) = fetch_report(&io, &endpoint).await {
        let event = Event::Report(endpoint.id, response.report, response.models);
        drop(io.events.send(event).await);
    }
    let Some(from) = from else { return };
    let path = format!("/v1/cache-events?from={from}");
    if let Some((page, bytes)) = get_json::<CachePage>(&io, &endpoint, &path).await {
        let event = Event::CacheEvents(endpoint.id, page, bytes);
        drop(io.events.send(event).await);
    }
}

/// Asks an endpoint that another instance owns for its report.
pub(super) async fn fetch_sweep_report(io: Io, endpoint: Endpoint) {
    let response = fetch_report(&io, &endpoint).await;
    drop(
        io.events
            .send(Event::SweepReport(endpoint.id, response))
            .await,
    );
}

async fn fetch_report(io: &Io, endpoint: &Endpoint) -> Option<ReportResponse> {
    let (body, bytes) = get_json::<ReportBody>(io, endpoint, "/v1/report").await?;
    let report = Report {
        taken: Duration::from_millis(body.taken_ms),
        incarnation: body.incarnation,
        standing: body.standing,
        requests: body.requests,
        work: body.work,
    };
    Some(ReportResponse {
        report,
        models: body.models,
        bytes,
    })
}

/// Bytes of a probe beside its answer's body: two HTTP heads of about 120, and
/// TCP/IP headers with the acknowledgements.
const PROBE_OVERHEAD_BYTES: usize = 400;

// Returns how long `bytes` last at a rate.
fn duration_at_rate(bytes: usize, rate: usize) -> Duration {
    Duration::from_millis((bytes * 1000 / rate) as u64)
}

async fn get_json<T: DeserializeOwned>(
    io: &Io,
    endpoint: &Endpoint,
    path: &str,
) -> Option<(T, usize)> {
    let request = Request::get(path).body(body::full(bytes::Bytes::new()));
    let sent = io
        .probes
        .send(endpoint.address, request.ok()?, PROBE_TIMEOUT);
    let response = sent.await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    let read = body::collect(response.into_body(), MAX_PROBE_RESPONSE_BYTES);
    let bytes = tokio::time::timeout(PROBE_TIMEOUT, read).await.ok()?.ok()?;
    let size = PROBE_OVERHEAD_BYTES + path.len() + bytes.len();
    serde_json::from_slice::<T>(&bytes)
        .inspect_err(|error| {
            log::debug!(endpoint:% = endpoint.name, error:% = error; "probe can't be read");
        })
        .ok()
        .map(|value| (value, size))
}
