//! What instances and engines tell: reports, cache events and summaries.

use godwitpost_decide::chats;
use godwitpost_decide::load::Summary;
use godwitpost_decide::view::Pool;
use godwitpost_types::clock::Moment;
use godwitpost_types::endpoint::{Report, Standing};
use godwitpost_types::id::{ChatId, EndpointId};
use rand::RngExt;

use super::{
    CARRIED, EVENT_LAG, Event, FANOUT, GOSSIPED, LAG, LOST, ROUND, SUMMARY_BYTES, TICK, World, pool,
};
use crate::decisions::scheme::{Scheme, Sheet};

/// Summaries of others that an instance keeps to pass on.
const KNOWN: usize = 64;

impl World {
    // Cache events come late, and some are lost in gaps.
    pub(super) fn publish(&mut self, engine: usize, mut evicted: Vec<ChatId>) {
        if self.scheme != Scheme::Owned {
            return;
        }
        evicted.retain(|_| self.rng.random_range(0..100) >= LOST);
        if !evicted.is_empty() {
            let taken = self.now;
            let event = Event::Evicted {
                engine,
                evicted,
                taken,
            };
            self.after(EVENT_LAG, event);
        }
    }

    pub(super) fn evicted(&mut self, engine: usize, evicted: &[ChatId], taken: Moment) {
        let endpoint = self.engines.all[engine].id;
        let pool = pool(&self.size, engine);
        let incarnation = self.lives[engine];
        let owners = self.nodes.iter_mut();
        for node in owners.filter(|node| node.view.owned_in_pool(pool).contains(&endpoint)) {
            for chat in evicted {
                let event = chats::Event {
                    chat: *chat,
                    pool,
                    kind: chats::Kind::Evicted,
                    tokens: 0,
                    incarnation,
                    at: taken,
                };
                node.owner.apply_cache_event(endpoint, &event);
            }
        }
    }

    pub(super) fn tick(&mut self) {
        self.after(TICK, Event::Tick);
        if self.scheme != Scheme::Owned {
            return;
        }
        for node in 0..self.nodes.len() {
            let wakes = self.nodes[node].owner.tick(self.now);
            self.wake(node, wakes);
            self.hand_over(node);
        }
    }

    pub(super) fn round(&mut self) {
        self.after(ROUND, Event::Round);
        let engines = self.engines.all.iter();
        self.sheets.push_back(Sheet {
            taken: self.now,
            rows: engines
                .map(|e| {
                    (
                        e.load,
                        e.running + u32::try_from(e.waiting.len()).unwrap_or(0),
                    )
                })
                .collect(),
        });
        while self
            .sheets
            .front()
            .is_some_and(|s| s.taken + LAG <= self.now)
        {
            if let Some(sheet) = self.sheets.pop_front() {
                self.report(&sheet);
            }
        }
        if self.scheme == Scheme::Owned {
            self.gossip();
        }
    }

    pub(super) fn report(&mut self, sheet: &Sheet) {
        self.engines.reported = sheet.rows.iter().map(|(load, _)| *load).collect();
        if self.scheme != Scheme::Owned {
            return;
        }
        for node in &mut self.nodes {
            let owned: Vec<EndpointId> = node
                .view
                .owned_pools()
                .values()
                .flatten()
                .copied()
                .collect();
            for endpoint in owned {
                let index = self.engines.index[&endpoint];
                let (work, requests) = sheet.rows[index];
                let report = Report {
                    taken: sheet.taken,
                    incarnation: self.lives[index],
                    standing: Standing::Live,
                    requests,
                    work,
                };
                node.owner.apply_report(endpoint, &report);
            }
        }
    }

    pub(super) fn gossip(&mut self) {
        let count = self.nodes.len();
        for node in 0..count {
            let mut told = self.nodes[node].owner.summaries(self.now);
            if count > FANOUT + 1 {
                told.extend(self.nodes[node].known.iter().take(GOSSIPED));
            }
            let first = self.rng.random_range(1..count);
            for step in 0..FANOUT.min(count - 1) {
                let peer = (node + 1 + (first + step) % (count - 1)) % count;
                self.learn(peer, &told);
            }
        }
    }

    // What travels on the back of a request or answer.
    pub(super) fn tell(&mut self, from: usize, to: usize, pool: Pool) {
        let sender = &self.nodes[from];
        let mut told = vec![sender.owner.summary(self.now, pool)];
        told.retain(|summary| summary.endpoints > 0);
        let known = sender.known.iter().filter(|summary| summary.pool == pool);
        told.extend(known.take(CARRIED));
        self.learn(to, &told);
    }

    pub(super) fn learn(&mut self, to: usize, told: &[Summary]) {
        let node = &mut self.nodes[to];
        node.owner.record_summaries(told);
        for summary in told.iter().filter(|summary| summary.source != node.id) {
            node.known.push_front(*summary);
        }
        node.known.truncate(KNOWN);
        self.control(2 + SUMMARY_BYTES * told.len() as u64);
    }

    pub(super) fn control(&mut self, bytes: u64) {
        if self.measured() {
            self.meter.control += bytes;
        }
    }
}
