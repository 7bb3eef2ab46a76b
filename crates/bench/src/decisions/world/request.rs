//! A request's way from its turn over owners to an engine and back.

use std::sync::Arc;
use std::time::Duration;

use godwitpost_decide::ending::Ending;
use godwitpost_decide::entry;
use godwitpost_decide::hop::Hop;
use godwitpost_decide::owner::{Next, Wake};
use godwitpost_decide::view::Pool;
use godwitpost_types::clock::since;
use godwitpost_types::id::{EndpointId, InstanceId};
use rand::RngExt;

use super::{Event, Job, LOCATION_BYTES, WAY, World};
use crate::decisions::engine::Run;
use crate::decisions::scheme::{self, Scheme};
use crate::decisions::size::SURGING;

impl World {
    pub(super) fn turn(&mut self, chat: usize) {
        if self.traffic.chats[chat].guest && !self.surge {
            return;
        }
        let request = self.traffic.turn(self.now, chat, &self.size);
        let known = &self.traffic.chats[chat];
        let reusable = if known.answered { known.context } else { 0 };
        let entry = self.entry();
        let job = Job {
            request,
            chat,
            entry,
            reusable,
            arrived: self.now,
            dispatched: false,
            attempts: entry::Attempts::default(),
            place: None,
            endpoint: 0,
        };
        let job = self.keep(job);
        self.place(job);
    }

    // Any instance but the one that is leaving, as the balancer gives it.
    pub(super) fn entry(&mut self) -> usize {
        let index = self.rng.random_range(0..self.nodes.len());
        if self.leaving == Some(index) {
            return (index + 1) % self.nodes.len();
        }
        index
    }

    pub(super) fn keep(&mut self, job: Job) -> usize {
        let Some(index) = self.free.pop() else {
            self.jobs.push(Some(job));
            return self.jobs.len() - 1;
        };
        self.jobs[index] = Some(job);
        index
    }

    pub(super) fn job(&mut self, index: usize) -> &mut Job {
        self.jobs[index].as_mut().expect("a job in flight is kept")
    }

    pub(super) fn place(&mut self, job: usize) {
        if self.scheme == Scheme::Owned {
            self.enter(job);
            return;
        }
        let Some(known) = self.jobs[job].as_ref() else {
            return;
        };
        let node = &mut self.nodes[known.entry];
        let picked = scheme::pick(
            self.scheme,
            &self.engines,
            &mut node.knowledge,
            &node.view,
            &known.request,
            self.size.bound,
        );
        if let Some(endpoint) = picked {
            let work = known.request.work(0);
            *node.knowledge.own.entry(endpoint).or_default() += work;
            self.after(WAY, Event::Arrive { endpoint, job });
        }
    }

    pub(super) fn enter(&mut self, job: usize) {
        let Some(known) = self.jobs[job].as_ref() else {
            return;
        };
        let node = &self.nodes[known.entry];
        let next = entry::route(&node.view, &self.policy, &known.request, node.zone);
        self.go(job, next);
    }

    pub(super) fn go(&mut self, job: usize, next: entry::Next) {
        let (entry, attempts, request) = {
            let known = self.job(job);
            (known.entry, known.attempts.clone(), known.request.clone())
        };
        let zone = self.nodes[entry].zone;
        let evidence = self.nodes[entry].owner.evidence_for(&request);
        match next {
            entry::Next::Local { endpoint } => {
                let hop = attempts.hop(zone, endpoint, evidence);
                self.offer(entry, entry, job, &hop);
            }
            entry::Next::Forward { instance, endpoint } => {
                let hop = attempts.hop(zone, endpoint, evidence);
                self.send(entry, instance, job, hop);
            }
            entry::Next::Refuse(refusal) => self.refuse(job, refusal.reason),
        }
    }

    pub(super) fn send(&mut self, from: usize, instance: InstanceId, job: usize, hop: Hop) {
        let node = self.places[&instance];
        let event = Event::Offer {
            node,
            from,
            job,
            hop,
        };
        self.after(WAY, event);
    }

    pub(super) fn offer(&mut self, node: usize, from: usize, job: usize, hop: &Hop) {
        let request = self.job(job).request.clone();
        if node != from {
            self.tell(from, node, Pool::for_request(&request));
        }
        let next = self.nodes[node].owner.offer(self.now, &request, hop);
        self.follow(node, job, next);
    }

    pub(super) fn follow(&mut self, node: usize, job: usize, next: Next) {
        match next {
            Next::Dispatch(grant) => {
                let known = self.job(job);
                known.place = Some((node, grant.attempt));
                let endpoint = grant.endpoint;
                if let Some((home, location)) = grant.notify_home {
                    let home = self.places[&home];
                    self.nodes[home].owner.record_location(location);
                    self.control(LOCATION_BYTES);
                }
                self.after(WAY, Event::Arrive { endpoint, job });
            }
            Next::Wait { ticket, .. } => {
                self.meter.waited += u64::from(self.measured());
                self.tickets.insert((node, ticket), job);
            }
            Next::Forward { instance, hop } => {
                self.meter.spills += u64::from(self.measured());
                self.send(node, instance, job, hop);
            }
            Next::Refuse(refusal) => self.refuse(job, refusal.reason),
        }
    }

    pub(super) fn wake(&mut self, node: usize, wakes: Vec<Wake>) {
        for wake in wakes {
            if let Some(job) = self.tickets.remove(&(node, wake.ticket)) {
                self.follow(node, job, wake.next);
            }
        }
    }

    pub(super) fn refuse(&mut self, job: usize, reason: godwitpost_decide::refusal::Reason) {
        let Some(known) = self.jobs[job].take() else {
            return;
        };
        self.free.push(job);
        if self.measured() {
            *self.meter.refused.entry(reason).or_default() += 1;
            let surging = self.traffic.chats[known.chat].workspace < SURGING;
            self.meter.innocent += u64::from(!surging);
        }
        let pause = self.traffic.pause(&self.size);
        self.after(pause, Event::Turn(known.chat));
    }

    pub(super) fn arrive(&mut self, endpoint: EndpointId, job: usize) {
        self.job(job).endpoint = endpoint;
        if !self.engines.get(endpoint).live {
            let ending = Ending::Leaving;
            self.after(WAY, Event::Answer { job, ending });
            return;
        }
        self.measure_dispatch(job);
        let known = self.job(job);
        let run = Run {
            job,
            chat: known.request.chat,
            prompt: known.request.prompt_tokens,
            answer: known.request.answer_tokens,
            hit: 0,
        };
        let (chat, reusable) = (run.chat, known.reusable);
        let index = self.engines.index[&endpoint];
        let hit = self.engines.all[index].cache.peek(chat).min(run.prompt);
        if self.measured() {
            self.meter.reusable += u64::from(reusable);
            self.meter.reused += u64::from(hit.min(reusable));
        }
        if self.scheme == Scheme::Oracle {
            let been = self.engines.been.entry(chat).or_default();
            been.retain(|other| *other != index);
            been.push(index);
            been.drain(..been.len().saturating_sub(4));
        }
        if let Some((run, time)) = self.engines.all[index].arrive(run) {
            self.begin(run, time);
        }
        self.skew(index);
    }

    pub(super) fn measure_dispatch(&mut self, job: usize) {
        let (measured, now) = (self.measured(), self.now);
        let known = self.job(job);
        if known.dispatched || !measured {
            known.dispatched = true;
            return;
        }
        known.dispatched = true;
        let (waited, chat) = (since(now, known.arrived), known.chat);
        self.meter.dispatched += 1;
        if self.scheme == Scheme::Owned && self.traffic.chats[chat].workspace >= SURGING {
            self.meter.delay(self.surge, waited);
        }
    }

    pub(super) fn begin(&mut self, run: Run, time: Duration) {
        self.after(time, Event::Finish { run });
    }

    pub(super) fn finish(&mut self, run: &Run) {
        let endpoint = self.job(run.job).endpoint;
        let index = self.engines.index[&endpoint];
        let evicted = self.engines.all[index].finish(run);
        self.publish(index, evicted);
        if let Some((run, time)) = self.engines.all[index].start() {
            self.begin(run, time);
        }
        self.skew(index);
        let (job, ending) = (run.job, Ending::Done);
        self.after(WAY, Event::Answer { job, ending });
    }

    pub(super) fn answer(&mut self, job: usize, ending: Ending) {
        let (entry, place, endpoint) = {
            let known = self.job(job);
            (known.entry, known.place.take(), known.endpoint)
        };
        if let Some((node, attempt)) = place {
            let wakes = self.nodes[node].owner.finish(self.now, attempt, ending);
            self.wake(node, wakes);
            if node != entry {
                let pool = Pool::for_request(&self.job(job).request);
                self.tell(node, entry, pool);
            }
        }
        self.note_told(job, entry, endpoint);
        if ending == Ending::Done {
            self.end(job);
        } else {
            self.again(job, endpoint, ending);
        }
    }

    pub(super) fn note_told(&mut self, job: usize, entry: usize, endpoint: EndpointId) {
        let load = self.engines.get(endpoint).load;
        let work = self.job(job).request.work(0);
        let knowledge = &mut self.nodes[entry].knowledge;
        if let Some(own) = knowledge.own.get_mut(&endpoint) {
            *own = own.saturating_sub(work);
        }
        if self.scheme == Scheme::TwoPiggybacked {
            knowledge.told.insert(endpoint, load);
            self.control(9);
        }
    }

    pub(super) fn end(&mut self, job: usize) {
        let Some(known) = self.jobs[job].take() else {
            return;
        };
        self.free.push(job);
        let chat = &mut self.traffic.chats[known.chat];
        chat.context = known.request.prompt_tokens + known.request.answer_tokens;
        chat.answered = true;
        let pause = self.traffic.pause(&self.size);
        self.after(pause, Event::Turn(known.chat));
    }

    pub(super) fn again(&mut self, job: usize, endpoint: EndpointId, ending: Ending) {
        if self.scheme != Scheme::Owned {
            self.place_live(job);
            return;
        }
        let Some(known) = self.jobs[job].as_mut() else {
            return;
        };
        let node = &self.nodes[known.entry];
        let retry = known.attempts.record_failure(
            self.now,
            &node.view,
            node.zone,
            &known.request,
            Some(endpoint),
            ending,
            &mut self.budgets,
            &mut self.rng,
        );
        match retry {
            entry::Retry::Again { to, .. } => self.go(job, to),
            entry::Retry::GiveUp { .. } => {
                self.refuse(job, godwitpost_decide::refusal::Reason::NoEndpoint);
            }
        }
    }

    // The baselines try the chat's order until one takes it.
    pub(super) fn place_live(&mut self, job: usize) {
        let Some(known) = self.jobs[job].as_ref() else {
            return;
        };
        let view = Arc::clone(&self.nodes[known.entry].view);
        let pool = Pool::for_request(&known.request);
        let mut ranked = view.ranked(pool, known.request.chat, 0);
        let live = ranked.find(|id| self.engines.get(*id).live);
        if let Some(endpoint) = live {
            self.after(WAY, Event::Arrive { endpoint, job });
        }
    }
}
