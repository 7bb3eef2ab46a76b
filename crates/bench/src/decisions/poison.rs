//! One request that crashes every endpoint that runs it, sent again and
//! again through any entry instance and under any key.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use godwitpost_decide::ending::Ending;
use godwitpost_decide::entry;
use godwitpost_decide::hop::Hop;
use godwitpost_decide::owner::{AttemptId, Next, Owner};
use godwitpost_decide::refusal::Reason;
use godwitpost_decide::view::{Fleet, View};
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::Standing;
use godwitpost_types::id::{self, EndpointId, InstanceId};
use godwitpost_types::policy::Policy;
use godwitpost_types::request::Request;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::size::{self, Size};

/// What one poison request did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Toll {
    /// Endpoints that it crashed.
    pub lost: usize,
    /// Innocent requests that were refused as if they had.
    pub convicted: usize,
    /// Innocent requests that ran to their end.
    pub ran: usize,
}

#[derive(Debug)]
struct Ward {
    size: Size,
    now: Moment,
    owners: BTreeMap<InstanceId, Owner>,
    views: BTreeMap<InstanceId, Arc<View>>,
    policy: Arc<Policy>,
    down: BTreeSet<EndpointId>,
    running: BTreeMap<EndpointId, Vec<(InstanceId, AttemptId, Request)>>,
    waiting: BTreeMap<(InstanceId, u64), Request>,
    toll: Toll,
    rng: ChaCha8Rng,
}

/// Requests in flight beside the poison one.
const INNOCENT: u64 = 60;

/// How often the caller sends the poison request.
const SENT: u64 = 8;

const POISON: [u8; 16] = [0xff; 16];

/// Sends one poison request among innocent ones.
#[must_use]
pub fn drive(seed: u64) -> Toll {
    let mut ward = Ward::new(seed);
    for number in 1..=INNOCENT {
        ward.send(&ward.request(number));
    }
    for key in 0..SENT {
        let mut poison = ward.request(10_000);
        poison.digest = POISON;
        poison.key = Some([u8::try_from(key).unwrap_or(0); 16]);
        ward.send(&poison);
        ward.settle();
    }
    ward.toll
}

impl Ward {
    fn new(seed: u64) -> Self {
        let size = size::today();
        let fleet = Arc::new(fleet(&size, &BTreeSet::new()));
        let policy = Arc::new(size.policy());
        let ids = (0..size.instances).map(|index| size.instance(index).id);
        let views: BTreeMap<_, _> = ids
            .map(|id| (id, Arc::new(View::from_fleet(id, Arc::clone(&fleet)))))
            .collect();
        let owners = views.iter().map(|(id, view)| {
            let owner = Owner::new(Arc::clone(view), Arc::clone(&policy));
            (*id, owner)
        });
        Self {
            now: Duration::from_secs(1000),
            owners: owners.collect(),
            views,
            policy,
            down: BTreeSet::new(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            toll: Toll::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            size,
        }
    }

    fn request(&self, number: u64) -> Request {
        Request {
            id: u128::from(number),
            version: 1,
            workspace: id::from_name("workspace-0"),
            service: id::from_name("drafting"),
            model: size::model(0),
            class: id::from_name("draft"),
            chat: id::scoped(1, &number.to_string()),
            prompt_tokens: 800,
            answer_tokens: 200,
            deadline: self.now + Duration::from_hours(1),
            key: None,
            digest: u128::from(number).to_le_bytes(),
        }
    }

    // Through any entry instance.
    fn send(&mut self, request: &Request) {
        let index = self.rng.random_range(0..self.size.instances);
        let entry = self.size.instance(index);
        let view = Arc::clone(&self.views[&entry.id]);
        let evidence = self.owners[&entry.id].evidence_for(request);
        let attempts = entry::Attempts::default();
        match entry::route(&view, &self.policy, request, entry.zone) {
            entry::Next::Local { endpoint } => {
                let hop = attempts.hop(entry.zone, endpoint, evidence);
                self.offer(entry.id, request, &hop);
            }
            entry::Next::Forward { instance, endpoint } => {
                let hop = attempts.hop(entry.zone, endpoint, evidence);
                self.offer(instance, request, &hop);
            }
            entry::Next::Refuse(refusal) => self.refuse(request, refusal.reason),
        }
    }

    fn offer(&mut self, instance: InstanceId, request: &Request, hop: &Hop) {
        let now = self.now;
        let owner = self.owners.get_mut(&instance).expect("an instance");
        let next = owner.offer(now, request, hop);
        self.follow(instance, request, next);
    }

    fn follow(&mut self, instance: InstanceId, request: &Request, next: Next) {
        match next {
            Next::Dispatch(grant) => {
                let running = self.running.entry(grant.endpoint).or_default();
                running.push((instance, grant.attempt, request.clone()));
                if request.digest == POISON {
                    self.crash(grant.endpoint);
                }
            }
            Next::Wait { ticket, .. } => {
                self.waiting.insert((instance, ticket), request.clone());
            }
            Next::Forward { instance, hop } => self.offer(instance, request, &hop),
            Next::Refuse(refusal) => self.refuse(request, refusal.reason),
        }
    }

    fn refuse(&mut self, request: &Request, reason: Reason) {
        if request.digest != POISON && reason == Reason::Quarantined {
            self.toll.convicted += 1;
        }
    }

    // All that ran there breaks; the evidence reaches every instance before
    // the caller does, and the list drops the endpoint.
    fn crash(&mut self, endpoint: EndpointId) {
        self.toll.lost += 1;
        self.down.insert(endpoint);
        let broken = self.running.remove(&endpoint).unwrap_or_default();
        for (instance, attempt, _) in &broken {
            self.end(*instance, *attempt, Ending::Broken);
        }
        self.share();
        self.publish();
        for (_, _, request) in broken {
            if request.digest != POISON {
                self.send(&request);
            }
        }
    }

    fn end(&mut self, instance: InstanceId, attempt: AttemptId, ending: Ending) {
        let owner = self.owners.get_mut(&instance).expect("an instance");
        let wakes = owner.finish(self.now, attempt, ending);
        self.wake(instance, wakes);
    }

    fn wake(&mut self, instance: InstanceId, wakes: Vec<godwitpost_decide::owner::Wake>) {
        for wake in wakes {
            if let Some(request) = self.waiting.remove(&(instance, wake.ticket)) {
                self.follow(instance, &request, wake.next);
            }
        }
    }

    fn share(&mut self) {
        let owners = self.owners.values_mut();
        let evidence: Vec<_> = owners.flat_map(Owner::take_evidence).collect();
        for owner in self.owners.values_mut() {
            owner.record_evidence(&evidence);
        }
    }

    fn publish(&mut self) {
        let fleet = Arc::new(fleet(&self.size, &self.down));
        for id in self.views.keys().copied().collect::<Vec<_>>() {
            let view = Arc::new(View::from_fleet(id, Arc::clone(&fleet)));
            self.views.insert(id, Arc::clone(&view));
            let owner = self.owners.get_mut(&id).expect("an instance");
            let wakes = owner.apply_view(self.now, view, Arc::clone(&self.policy));
            self.wake(id, wakes);
        }
    }

    // Everything innocent that runs comes to its end.
    fn settle(&mut self) {
        while let Some((endpoint, mut running)) = self.running.pop_first() {
            self.now += Duration::from_millis(100);
            if let Some((instance, attempt, _)) = running.pop() {
                if !running.is_empty() {
                    self.running.insert(endpoint, running);
                }
                self.toll.ran += 1;
                self.end(instance, attempt, Ending::Done);
                self.share();
            }
        }
    }
}

fn fleet(size: &Size, down: &BTreeSet<EndpointId>) -> Fleet {
    let endpoints = (0..size.engines).map(|index| {
        let mut endpoint = size.endpoint(index, 1);
        if down.contains(&endpoint.id) {
            endpoint.standing = Standing::Leaving;
        }
        endpoint
    });
    Fleet::new((0..size.instances).map(|i| size.instance(i)), endpoints)
}
