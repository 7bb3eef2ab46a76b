//! Instances that gossip, in driven time, with a network between them.
//!
//! Each instance runs the crate's own roster, endpoints and pump. Messages are
//! encoded and decoded, so their sizes are real; what they cost beside their
//! bodies is [`HEADERS`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use godwitpost_state::gossip::{Budget, Demand, Message, Pump};
use godwitpost_state::membership::endpoints::{Change, Endpoints, LeavingNotice};
use godwitpost_state::membership::{Roster, State};
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::{Endpoint, Standing};
use godwitpost_types::hash;
use godwitpost_types::id::{InstanceId, Version};
use godwitpost_types::instance::Instance;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes that one message costs beside its body.
///
/// An HTTP/1.1 head with an authenticator of 64 digits (about 220 bytes), the
/// TCP/IP headers of its packet and of the acknowledgement (52 bytes each).
pub const HEADERS: u64 = 330;

/// The budget of one instance in bytes a second, from the letter.
pub const RATE: u64 = 6000;

/// The one endpoint that is known from the start, to leave later.
pub const ENDPOINT: u64 = 77;

// When fleets begin; away from zero, so that signs of life have a past.
const START: Moment = Duration::from_secs(1000);

// One way within a region, and between regions.
const NEAR: Duration = Duration::from_millis(1);
const FAR: Duration = Duration::from_millis(40);

// How long a contact waits for its answer.
const TIMEOUT: Duration = Duration::from_secs(1);

// How often instances read the list, and how far it lags.
const LIST_EVERY: Duration = Duration::from_secs(5);
const LIST_LAG: Duration = Duration::from_secs(10);

#[derive(Debug)]
enum Event {
    Tick(usize),
    List(usize),
    Request(usize, usize, Vec<u8>),
    Answer(usize, usize, Vec<u8>),
    Refused(usize),
    Timeout(usize, usize),
    Fetched(usize, Version),
}

struct Node {
    alive: bool,
    paused_until: Moment,
    roster: Roster,
    endpoints: Endpoints,
    pump: Pump,
    version: Version,
    homes: BTreeMap<u64, InstanceId>,
    moves: u64,
}

/// A fleet of gossiping instances.
pub struct Fleet {
    now: Moment,
    order: u64,
    queue: BTreeMap<(Moment, u64), Event>,
    nodes: Vec<Node>,
    instances: Vec<Instance>,
    dead_since: BTreeMap<usize, Moment>,
    cut: BTreeSet<u64>,
    rng: ChaCha8Rng,
    keys: u64,
}

impl std::fmt::Debug for Fleet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Fleet")
            .field("now", &self.now)
            .field("nodes", &self.nodes.len())
            .finish_non_exhaustive()
    }
}

impl Fleet {
    /// Returns a fleet of `size` instances over 12 zones in 4 regions, or over
    /// 4 zones in one region if there are fewer than 12.
    ///
    /// `keys` homes are followed at each instance.
    #[must_use]
    pub fn new(size: usize, keys: u64, seed: u64) -> Self {
        let instances: Vec<Instance> = (0..size).map(|n| instance(n, size)).collect();
        let mut fleet = Self {
            now: START,
            order: 0,
            queue: BTreeMap::new(),
            nodes: instances.iter().map(node).collect(),
            instances,
            dead_since: BTreeMap::new(),
            cut: BTreeSet::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            keys,
        };
        for n in 0..size {
            let phase = Duration::from_secs(1).mul_f64(fleet.rng.random_range(0.0..1.0));
            fleet.at(START, Event::List(n));
            fleet.at(START + phase, Event::Tick(n));
        }
        fleet
    }

    /// Plays for a while.
    pub fn run(&mut self, long: Duration) {
        let end = self.now + long;
        while let Some((&(at, order), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let event = self.queue.remove(&(at, order));
            self.now = at;
            if let Some(event) = event {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Plays until `done` holds, looked at each 100 ms, and returns how long
    /// that took, or `longest`.
    pub fn run_until(&mut self, longest: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        const STEP: Duration = Duration::from_millis(100);
        let from = self.now;
        while self.now < from + longest {
            if done(self) {
                break;
            }
            self.run(STEP);
        }
        self.now.saturating_sub(from)
    }

    /// Puts a bundle version in force at one instance.
    pub fn roll(&mut self, n: usize, version: Version) {
        self.adopt(n, version);
    }

    /// Returns whether every live instance holds at least a version.
    #[must_use]
    pub fn all_hold(&self, version: Version) -> bool {
        self.live().all(|node| node.version >= version)
    }

    /// Lets one instance see that [`ENDPOINT`] leaves.
    pub fn see_leaving(&mut self, n: usize) {
        let leaving = LeavingNotice {
            id: ENDPOINT,
            incarnation: 1,
        };
        self.nodes[n].endpoints.apply_notice(leaving);
        self.after_news(n);
    }

    /// Returns whether every live instance knows that [`ENDPOINT`] leaves.
    #[must_use]
    pub fn all_see_leaving(&self) -> bool {
        self.live().all(|node| {
            let endpoint = node.endpoints.get(ENDPOINT);
            endpoint.is_some_and(|endpoint| endpoint.standing == Standing::Leaving)
        })
    }

    /// Kills every instance of a zone and returns how many there were.
    pub fn lose_zone(&mut self, zone: u64) -> usize {
        let of_zone = |(_, instance): &(usize, &Instance)| instance.zone == zone;
        let members = self.instances.iter().enumerate();
        let lost: Vec<usize> = members.filter(of_zone).map(|(n, _)| n).collect();
        for &n in &lost {
            self.nodes[n].alive = false;
            self.dead_since.insert(n, self.now);
        }
        lost.len()
    }

    /// Returns whether every live instance takes all dead ones for gone.
    #[must_use]
    pub fn all_see_dead(&self) -> bool {
        self.live().all(|node| {
            self.dead_since.keys().all(|n| {
                let state = node.roster.state(self.instances[*n].id);
                matches!(state, None | Some(State::Gone))
            })
        })
    }

    /// Pauses an instance: what reaches it meanwhile waits.
    pub fn pause(&mut self, n: usize, long: Duration) {
        self.nodes[n].paused_until = self.now + long;
    }

    /// Cuts a region off from the others, or joins it again.
    pub fn cut(&mut self, region: u64, cut: bool) {
        if cut {
            self.cut.insert(region);
        } else {
            self.cut.remove(&region);
        }
    }

    /// Returns whether all live instances agree on the homes of all keys.
    #[must_use]
    pub fn agree(&self) -> bool {
        let mut views = self.live().map(|node| homes(node, self.keys));
        let Some(first) = views.next() else {
            return true;
        };
        views.all(|view| view == first)
    }

    /// Returns the home of each key in the view of the first live instance.
    #[must_use]
    pub fn homes(&self) -> BTreeMap<u64, InstanceId> {
        let first = self.live().next();
        first.map_or_else(BTreeMap::new, |node| homes(node, self.keys))
    }

    /// Returns the changes of homes, over all keys and live instances.
    #[must_use]
    pub fn moves(&self) -> u64 {
        self.live().map(|node| node.moves).sum()
    }

    /// Returns the control bytes that each live instance spent so far.
    #[must_use]
    pub fn spent(&self) -> Vec<u64> {
        self.live().map(|node| node.pump.budget().spent()).collect()
    }

    /// Returns the messages that the budgets refused so far.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.live().map(|node| node.pump.budget().refused()).sum()
    }

    /// Returns the number of live instances.
    #[must_use]
    pub fn size(&self) -> usize {
        self.live().count()
    }

    fn live(&self) -> impl Iterator<Item = &Node> + '_ {
        self.nodes.iter().filter(|node| node.alive)
    }

    fn at(&mut self, at: Moment, event: Event) {
        self.order += 1;
        self.queue.insert((at, self.order), event);
    }

    fn handle(&mut self, event: Event) {
        let n = match &event {
            Event::Tick(n)
            | Event::List(n)
            | Event::Refused(n)
            | Event::Timeout(n, _)
            | Event::Fetched(n, _)
            | Event::Request(_, n, _)
            | Event::Answer(_, n, _) => *n,
        };
        if !self.nodes[n].alive {
            return;
        }
        let until = self.nodes[n].paused_until;
        if self.now < until {
            self.at(until, event);
            return;
        }
        match event {
            Event::Tick(n) => self.tick(n),
            Event::List(n) => self.list(n),
            Event::Request(from, to, bytes) => self.request(from, to, &bytes),
            Event::Answer(from, to, bytes) => self.answer(from, to, &bytes),
            Event::Refused(n) => self.nodes[n].pump.settle_failed(),
            Event::Timeout(n, peer) => self.timeout(n, peer),
            Event::Fetched(n, version) => self.adopt(n, version),
        }
    }

    fn tick(&mut self, n: usize) {
        self.after_news(n);
        let next = self.nodes[n].pump.next_exchange();
        self.at(next.max(self.now + NEAR), Event::Tick(n));
    }

    // Passes on what changed and contacts whom the pump names.
    fn after_news(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let changes = node.roster.tick(now);
        node.pump.queue_member_updates(&changes);
        for change in node.endpoints.tick(now) {
            if let Change::Left(leaving) = change {
                node.pump.queue_leaving(leaving);
            }
        }
        if !changes.is_empty() {
            self.follow_homes(n);
        }
        let node = &mut self.nodes[n];
        let peers = node.pump.tick(now, &node.roster, &mut self.rng);
        for peer in peers {
            self.contact(n, peer);
        }
    }

    fn contact(&mut self, n: usize, peer: InstanceId) {
        let node = &mut self.nodes[n];
        let bytes = node.pump.build_message(peer, &node.roster, &[]).encode();
        node.pump.settle_sent(bytes.len());
        let to = usize::try_from(peer - 1).expect("ids are indices here");
        if self.reach(n, to) {
            let at = self.now + self.way(n, to);
            self.at(at, Event::Request(n, to, bytes));
        } else {
            self.at(self.now + TIMEOUT, Event::Timeout(n, to));
        }
    }

    fn request(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let message = Message::decode(bytes).expect("the message was encoded here");
        let now = self.now;
        let at = now + self.way(from, to);
        let node = &mut self.nodes[to];
        let (roster, endpoints) = (&mut node.roster, &mut node.endpoints);
        let news = node
            .pump
            .apply_request(now, bytes.len(), &message, roster, endpoints);
        let Some(news) = news else {
            self.at(at, Event::Refused(from));
            return;
        };
        let answer = node.pump.build_message(message.from.id, &node.roster, &[]);
        let answer = answer.encode();
        node.pump.settle_sent(answer.len());
        self.at(at, Event::Answer(to, from, answer));
        self.read(to, from, news.version);
    }

    fn answer(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let message = Message::decode(bytes).expect("the message was encoded here");
        let node = &mut self.nodes[to];
        let (roster, endpoints) = (&mut node.roster, &mut node.endpoints);
        let news = node
            .pump
            .apply_response(self.now, bytes.len(), &message, roster, endpoints);
        self.read(to, from, news.version);
    }

    fn read(&mut self, n: usize, peer: usize, version: Option<Version>) {
        if let Some(version) = version {
            // The bundle is fetched from the peer: there and back.
            let at = self.now + self.way(n, peer) * 2;
            self.at(at, Event::Fetched(n, version));
        }
        self.after_news(n);
    }

    fn adopt(&mut self, n: usize, version: Version) {
        let node = &mut self.nodes[n];
        if version > node.version {
            node.version = version;
            node.pump.set_version(version);
            self.after_news(n);
        }
    }

    fn timeout(&mut self, n: usize, peer: usize) {
        let id = self.instances[peer].id;
        let node = &mut self.nodes[n];
        node.pump.settle_failed();
        node.roster.record_unreachable(self.now, id);
        self.after_news(n);
    }

    fn list(&mut self, n: usize) {
        let now = self.now;
        let instances = self.instances.iter().enumerate();
        let listed: Vec<Instance> = instances
            .filter(|(n, _)| {
                let dead = self.dead_since.get(n);
                dead.is_none_or(|since| now < *since + LIST_LAG)
            })
            .map(|(_, instance)| instance.clone())
            .collect();
        let node = &mut self.nodes[n];
        node.roster.apply_list(now, &listed);
        node.endpoints.apply_list(now, &[endpoint()]);
        if node.homes.is_empty() {
            node.homes = homes(node, self.keys);
        }
        self.after_news(n);
        self.at(now + LIST_EVERY, Event::List(n));
    }

    fn follow_homes(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let homes = homes(node, self.keys);
        let moved = homes
            .iter()
            .filter(|(key, home)| node.homes.get(key) != Some(home));
        node.moves += moved.count() as u64;
        node.homes = homes;
    }

    fn reach(&self, from: usize, to: usize) -> bool {
        let (a, b) = (self.instances[from].region, self.instances[to].region);
        let cut = a != b && (self.cut.contains(&a) || self.cut.contains(&b));
        self.nodes[to].alive && self.now >= self.nodes[to].paused_until && !cut
    }

    fn way(&self, from: usize, to: usize) -> Duration {
        if self.instances[from].region == self.instances[to].region {
            NEAR
        } else {
            FAR
        }
    }
}

fn homes(node: &Node, keys: u64) -> BTreeMap<u64, InstanceId> {
    let ids: Vec<InstanceId> = node
        .roster
        .instances()
        .map(|instance| instance.id)
        .collect();
    (0..keys)
        .filter_map(|key| Some((key, hash::winner(key, ids.iter().copied())?)))
        .collect()
}

fn node(instance: &Instance) -> Node {
    // Limits that press on all instances: messages carry all they may.
    let demand = |index: u64| Demand {
        workspace: u64::MAX - index,
        rate: u32::MAX,
        running: u32::MAX,
    };
    let mut pump = Pump::new(Budget::new(START, RATE, HEADERS));
    pump.set_demands((0..8).map(demand).collect());
    Node {
        alive: true,
        paused_until: Moment::ZERO,
        roster: Roster::new(instance.clone()),
        endpoints: Endpoints::new(),
        pump,
        version: 0,
        homes: BTreeMap::new(),
        moves: 0,
    }
}

fn instance(n: usize, size: usize) -> Instance {
    let (zones, regions) = if size < 12 { (4, 1) } else { (12, 4) };
    let address = SocketAddr::from(([10, 0, 0, 1], 7000));
    Instance {
        id: n as u64 + 1,
        name: format!("router-{n}"),
        // As large as the milliseconds that a real one counts, for its size.
        incarnation: 1_764_712_800_000 + n as u64,
        zone: n as u64 % zones,
        region: n as u64 % zones % regions,
        peer_address: address,
        operators_address: address,
        standing: Standing::Live,
    }
}

fn endpoint() -> Endpoint {
    Endpoint {
        id: ENDPOINT,
        name: "runner-77".to_owned(),
        incarnation: 1,
        service: 1,
        models: BTreeSet::new(),
        zone: 1,
        region: 1,
        address: SocketAddr::from(([10, 0, 1, 1], 8000)),
        standing: Standing::Live,
    }
}
