//! Polls the platform's list and the owned endpoints.

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

/// Long poll time of the list: how long it holds a call without changes.
const LIST_POLL_TIME: Duration = Duration::from_secs(5);

/// Pause after a failed call, and between calls to a list without revisions,
/// which responds at once.
const LIST_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Bytes per second for cache events of all owned engines.
const CACHE_EVENT_BYTES_PER_SECOND: usize = 1_000;

/// Period of checks for probes that are due.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Minimum time between two reports of an owned endpoint.
const MIN_REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Maximum time between two reports, whatever the number of endpoints. The
/// connector closes connections that are idle for four seconds, so with a longer
/// time each report would open a new one, which costs more bytes than it saves.
const MAX_REPORT_PERIOD: Duration = Duration::from_millis(3500);

/// Bytes per second for reports of all owned endpoints. With a fixed period of
/// two seconds, the ten endpoints that an instance of a full-size fleet owns
/// would take 3.5 KB.
const REPORT_BYTES_PER_SECOND: usize = 2_000;

/// Size of one report on the wire, with all headers.
const ESTIMATED_REPORT_BYTES: usize = 700;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Limit on the size of a response to a probe.
const MAX_PROBE_RESPONSE_BYTES: usize = 256 << 10;

/// Times of the last probes of owned endpoints, and offsets of their cache events.
#[derive(Debug, Default)]
pub(super) struct Probes {
    last_check: Moment,
    last_probe: BTreeMap<EndpointId, Moment>,
    // When to request an engine's next cache events.
    cache_events_due: BTreeMap<EndpointId, Moment>,
    cache_positions: BTreeMap<EndpointId, (Incarnation, Offset)>,
}

/// An engine's cache events, starting at an offset.
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

/// An endpoint's response to a request for its report.
#[derive(Clone, Debug)]
pub(crate) struct ReportResponse {
    /// The report.
    pub(super) report: Report,
    /// The models that it lists, each `name@weights`; plain services list none.
    pub(super) models: Option<Vec<String>>,
    /// The approximate size of the response on the wire.
    pub(super) bytes: usize,
}

/// Follows the platform's list until the control thread ends.
pub(super) async fn follow_list(io: Io, client: list::Client) {
    let mut watch = Watch::new(client);
    loop {
        let listed = watch.next(LIST_POLL_TIME).await;
        let pause = listed.is_err() || !watch.is_long_polling();
        match listed {
            Ok(listing) => {
                if io.events.send(Event::Listing(listing)).await.is_err() {
                    return;
                }
            }
            Err(error) => log::debug!(error:% = error; "could not read the instance list"),
        }
        if pause {
            io.timer.sleep_until(io.now() + LIST_RETRY_PAUSE).await;
        }
    }
}

impl Control {
    /// Probes the owned endpoints that are due.
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
            let last_probe = self.probes.last_probe.get(&endpoint.id);
            if last_probe.is_some_and(|at| since(now, *at) < period) {
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

    /// Applies cache events to each model that the engine has: they name a prefix
    /// but no model, and a chat stays with one model.
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
    // A new incarnation numbers its events from 0.
    fn next_event_offset(&self, endpoint: &Endpoint) -> Option<Offset> {
        if endpoint.models.is_empty() {
            return None;
        }
        match self.cache_positions.get(&endpoint.id) {
            Some((incarnation, next)) if *incarnation == endpoint.incarnation => Some(*next),
            _ => Some(0),
        }
    }

    // A page after a gap is applied as it is: what the lost events contained can
    // be inferred from the order of the evictions that did arrive.
    fn record_position(&mut self, endpoint: &Endpoint, page: &CachePage) {
        let before = self.next_event_offset(endpoint).unwrap_or(0);
        let position = (endpoint.incarnation, page.next.max(before));
        self.cache_positions.insert(endpoint.id, position);
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

/// Fetches the report of an endpoint that another instance owns.
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

/// Bytes of a probe besides its response body: two HTTP heads of about 120, and
/// TCP/IP headers with the acknowledgements.
const PROBE_OVERHEAD_BYTES: usize = 400;

// Returns how long sending `bytes` takes at `rate` bytes per second.
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
            log::debug!(endpoint:% = endpoint.name, error:% = error; "can't decode an endpoint's response to a probe");
        })
        .ok()
        .map(|value| (value, size))
}
