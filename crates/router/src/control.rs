//! Control thread: keeps the state of bundles, instances and endpoints.
//!
//! Every change to the state arrives as an [`Event`] through one channel and is
//! applied on one thread. Calls to the platform, to peers and to endpoints run
//! as tasks of the same thread and send their results back as events. Traffic
//! threads never wait for this thread: they read the last published snapshot.

mod batchers;
pub(crate) mod bundles;
mod cost;
pub(crate) mod gossip;
mod models;
mod orders;
mod probe;
mod publish;
mod renew;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use godwitpost_bundle::blob::Digest;
use godwitpost_bundle::fold::Fold;
use godwitpost_bundle::ready::Ready;
use godwitpost_client::connect::{self, Connector};
use godwitpost_client::list::{self, Listing};
use godwitpost_client::log;
use godwitpost_client::timer::Timer;
use godwitpost_state::claim::{Item, Verdict};
use godwitpost_state::gossip::{Budget, Message, Pump};
use godwitpost_state::membership::Roster;
use godwitpost_state::membership::endpoints::{Change, Endpoints, LeavingNotice};
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::{Endpoint, Report};
use godwitpost_types::id::{EndpointId, InstanceId, Offset, ServiceId, Version};
use rand::rngs::StdRng;
use tokio::sync::{mpsc, oneshot};

use crate::handover;
use crate::random;
use crate::shared::Shared;
use batchers::Batchers;
use probe::CachePage;

/// Capacity of the control thread's event channel.
///
/// Far more than arrive in a second. If the channel is full, senders wait, so
/// that memory stays bounded.
pub(crate) const EVENT_QUEUE_CAPACITY: usize = 4096;

/// Period of time-driven work, such as queue timeouts and failure suspicions.
const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Timeout of one call to the platform.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes per second that an instance may spend on gossip. The budget for all
/// control traffic is 6 KB per second; the rest is for reports, the list and
/// the log.
const GOSSIP_BYTES_PER_SECOND: u64 = 3_000;

/// Bytes of a gossip message besides its body: the HTTP head with the seal has
/// about 330 bytes, TCP/IP headers with the acknowledgement 120.
const GOSSIP_OVERHEAD_BYTES: u64 = 450;

/// An event for the control thread.
#[derive(Debug)]
pub(crate) enum Event {
    /// A response of the platform's instance list.
    Listing(Listing),
    /// Records of the bundle stream; empty if there is nothing new.
    BundleRecords(Vec<log::Record>),
    /// An attempt to append a checkpoint ended, successfully or not.
    RenewalEnded,
    /// An instance reported the bundle version that it holds.
    PeerVersion(InstanceId, Version),
    /// An instance's response to a request for its bundle.
    BundleFetched(Option<Bytes>),
    /// A peer's request for the bundle, with the version that it holds.
    BundleRequest(Version, oneshot::Sender<Option<Bytes>>),
    /// A peer's gossip message with its size, and the channel for the response;
    /// `None` is sent if the budget is exhausted.
    GossipRequest(Message, usize, oneshot::Sender<Option<Bytes>>),
    /// A peer's response to a gossip message, with its size; `None` if the peer
    /// could not be reached.
    GossipResponse(InstanceId, Option<(Message, usize)>),
    /// The report of an owned endpoint, with the models that it lists.
    Report(EndpointId, Report, Option<Vec<String>>),
    /// The report of an engine that another instance owns; `None` if the engine
    /// did not respond.
    SweepReport(EndpointId, Option<probe::ReportResponse>),
    /// The log's response to a call about a service's lease.
    LeaseCall(ServiceId, orders::Call),
    /// The result of an order to an engine, with the order's fencing number.
    OrderResult(ServiceId, EndpointId, Offset, orders::SendResult),
    /// An engine's cache events, with the size of the response.
    CacheEvents(EndpointId, CachePage, usize),
    /// An endpoint announced in a response that it is leaving.
    EndpointLeaving(LeavingNotice),
    /// A claim or an outcome for the local batcher.
    Claim {
        /// The item to append.
        item: Item,
        /// Receives the verdict.
        reply: oneshot::Sender<Verdict>,
    },
    /// The log's response to a batcher's call.
    BatcherCall(batchers::CallResult),
    /// This instance starts to leave; the sender is notified once that is
    /// published.
    Leave(oneshot::Sender<()>),
}

/// The control state of one router.
pub(crate) struct Control {
    shared: Arc<Shared>,
    io: Io,
    fold: Fold,
    ready: Ready,
    roster: Roster,
    endpoints: Endpoints,
    pump: Pump,
    batchers: Batchers,
    fetching_bundle: bool,
    renewal_running: bool,
    last_renewal: Option<Moment>,
    published: publish::Published,
    probes: probe::Probes,
    orders: orders::Orders,
    models: models::Models,
    byte_counts: cost::ByteCounts,
    rng: StdRng,
}

/// Connections and channels that the control thread's tasks use.
#[derive(Clone)]
pub(crate) struct Io {
    peers: Connector,
    probes: Connector,
    platform: Connector,
    log: log::Client,
    // For batchers; their traffic is counted as claims, apart from control.
    claim_connector: Connector,
    claim_log: log::Client,
    events: mpsc::Sender<Event>,
    timer: Timer,
    shared: Arc<Shared>,
}

impl Io {
    fn now(&self) -> Moment {
        self.shared.now()
    }
}

impl Control {
    pub(crate) fn new(shared: Arc<Shared>, own: godwitpost_types::instance::Instance) -> Self {
        let settings = &shared.settings;
        // One connector per kind of control traffic, because each counts its bytes.
        let connector = || Connector::new(connect::Settings::default());
        let platform = connector();
        let claim_connector = connector();
        let now = shared.now();
        let roots = settings.root_keys.iter().copied().map(Digest);
        Self {
            ready: Ready::default(),
            fold: Fold::new(settings.fleet.clone(), roots),
            roster: Roster::new(own.clone()),
            endpoints: Endpoints::new(),
            pump: Pump::new(Budget::new(
                now,
                GOSSIP_BYTES_PER_SECOND,
                GOSSIP_OVERHEAD_BYTES,
            )),
            batchers: Batchers::default(),
            fetching_bundle: false,
            renewal_running: false,
            last_renewal: None,
            published: publish::Published::new(own),
            probes: probe::Probes::default(),
            orders: orders::Orders::default(),
            models: models::Models::default(),
            byte_counts: cost::ByteCounts::default(),
            rng: random::generator(),
            io: Io {
                log: log::Client::new(
                    platform.clone(),
                    settings.platform.log,
                    PLATFORM_CALL_TIMEOUT,
                ),
                claim_log: log::Client::new(
                    claim_connector.clone(),
                    settings.platform.log,
                    PLATFORM_CALL_TIMEOUT,
                ),
                claim_connector,
                events: shared.control.clone(),
                timer: Timer::new(now),
                peers: connector(),
                probes: connector(),
                platform,
                shared: Arc::clone(&shared),
            },
            shared,
        }
    }

    /// Runs until the event channel is closed.
    pub(crate) async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        tokio::spawn(self.io.timer.clone().drive(self.shared.clock));
        let settings = &self.shared.settings;
        let list = list::Client::new(
            self.io.platform.clone(),
            settings.platform.list,
            PLATFORM_CALL_TIMEOUT,
        );
        tokio::spawn(probe::follow_list(self.io.clone(), list));
        tokio::spawn(bundles::follow(self.io.clone()));
        let mut ticks = self.io.timer.every(TICK_PERIOD);
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return,
                },
                _ = ticks.next() => self.tick(),
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.shared.now();
        match event {
            Event::Listing(listing) => self.apply_listing(now, &listing),
            Event::BundleRecords(records) => self.apply_bundle_records(&records),
            Event::RenewalEnded => self.renewal_running = false,
            Event::PeerVersion(instance, version) => self.fetch_newer_bundle(instance, version),
            Event::BundleFetched(bytes) => self.apply_fetched_bundle(bytes),
            Event::BundleRequest(version, reply) => {
                send_reply(reply, self.bundle_for_peer(version));
            }
            Event::GossipRequest(message, bytes, reply) => {
                let response = self.handle_gossip_request(now, &message, bytes);
                send_reply(reply, response);
            }
            Event::GossipResponse(instance, response) => {
                self.handle_gossip_response(now, instance, response);
            }
            Event::Report(endpoint, report, models) => {
                self.apply_report(now, endpoint, &report, models);
            }
            Event::SweepReport(endpoint, response) => {
                self.apply_sweep_report(now, endpoint, response);
            }
            Event::LeaseCall(service, call) => self.apply_lease_call(now, service, call),
            Event::OrderResult(service, endpoint, fence, sent) => {
                self.apply_order_result(service, endpoint, fence, &sent);
            }
            Event::CacheEvents(endpoint, page, bytes) => {
                self.apply_cache_events(endpoint, &page, bytes);
            }
            Event::EndpointLeaving(leaving) => self.endpoints.apply_notice(leaving),
            Event::Claim { item, reply } => self.submit_claim(now, item, reply),
            Event::BatcherCall(result) => self.apply_batcher_call(now, result),
            Event::Leave(done) => {
                self.roster.leave();
                self.publish();
                self.release_leases(now);
                send_reply(done, ());
            }
        }
    }

    fn tick(&mut self) {
        let now = self.shared.now();
        self.publish_changes(now);
        self.shared.owner.tick(now);
        if let Some(due) = handover::next_batch(&self.shared) {
            let shared = Arc::clone(&self.shared);
            tokio::spawn(async move { handover::send_batch(&shared, due).await });
        }
        self.send_gossip(now);
        self.probe_endpoints(now);
        self.renew_bundle(now);
        self.pump_batchers(now);
        self.run_orders(now);
        self.count_traffic();
    }

    // Comparing a snapshot of a full-size fleet takes a millisecond, so a new one
    // is built only if something changed.
    fn publish_changes(&mut self, now: Moment) {
        let member_updates = self.roster.tick(now);
        let changes = self.endpoints.tick(now);
        self.pump.queue_member_updates(&member_updates);
        for change in &changes {
            if let Change::Left(leaving) = change {
                self.pump.queue_leaving(*leaving);
            }
        }
        if !member_updates.is_empty() || !changes.is_empty() {
            self.publish();
        }
    }

    fn apply_listing(&mut self, now: Moment, listing: &Listing) {
        for refused in &listing.refused {
            ::log::warn!(entry:% = refused; "can't parse an entry of the instance list");
        }
        self.roster.apply_list(now, &listing.instances);
        self.endpoints.apply_list(now, &listing.endpoints);
        self.publish();
        self.shared.set_fleet_listed();
    }
}

/// Reports to the control thread the bundle version that an instance holds.
///
/// Never waits: a report dropped because the channel is full is repeated with
/// the next message.
pub(crate) fn report_peer_version(shared: &Shared, instance: InstanceId, version: Version) {
    if version > shared.version() {
        drop(
            shared
                .control
                .try_send(Event::PeerVersion(instance, version)),
        );
    }
}

/// Reports to the control thread that an instance could not be reached.
pub(crate) fn report_unreachable(shared: &Shared, instance: InstanceId) {
    drop(
        shared
            .control
            .try_send(Event::GossipResponse(instance, None)),
    );
}

/// Reports to the control thread that an endpoint is leaving.
pub(crate) fn report_leaving(shared: &Shared, endpoint: &Endpoint) {
    let leaving = LeavingNotice {
        id: endpoint.id,
        incarnation: endpoint.incarnation,
    };
    drop(shared.control.try_send(Event::EndpointLeaving(leaving)));
}

// The receiver may have been dropped; the value is not needed then.
fn send_reply<T>(to: oneshot::Sender<T>, value: T) {
    drop(to.send(value));
}
