//! The batcher's messages to and from dispatchers and the log.

use godwitpost_state::claim::{AppendFailure, Id, Item, Next, Page, StoredRecord, Verdict, batch};
use godwitpost_types::clock::Moment;
use godwitpost_types::id::Offset;

use super::{Append, Event, Life, Local, Node, World};
use crate::claims::history::Event as Seen;
use crate::claims::plan::WINDOW;
use crate::claims::weak::{Seat, Weakness};
use crate::state::log::Reply;

impl World {
    pub(super) fn submit(&mut self, node: Node, item: Item) {
        let now = self.clock(node);
        let weakness = self.weakness;
        let seat = &mut self.instances[node].seat;
        let seat = seat.get_or_insert_with(|| Seat::new(weakness, WINDOW));
        seat.submit(now, item);
        self.drive(node);
    }

    pub(super) fn drive(&mut self, node: Node) {
        let now = self.clock(node);
        loop {
            let Some(seat) = self.instances[node].seat.as_mut() else {
                return;
            };
            match seat.next(now) {
                Next::Append { ticket, body } => self.append(node, ticket, body),
                Next::Read { from, limit } => {
                    let way = self.log.way(&mut self.rng);
                    let life = self.instances[node].life;
                    self.after(way, Event::Serve(node, life, from, limit as usize));
                }
                Next::Reply { id, verdict } => self.answer(id, verdict),
                Next::Wait(Some(until)) => {
                    self.local(until.saturating_sub(now), node, Local::Wake);
                    return;
                }
                Next::Wait(None) => return,
            }
        }
    }

    fn answer(&mut self, id: Id, verdict: Verdict) {
        let node = usize::try_from(id.holder).expect("holders are indices here");
        if let Some(key) = self.callers.key_of(id) {
            self.history.push(Seen::Judged { id, key, verdict });
        }
        self.send(node, Local::Verdict(id, verdict));
    }

    fn append(&mut self, node: Node, ticket: u64, body: Vec<u8>) {
        let fate = self.log.append(self.now, &mut self.rng);
        let index = self.appends.len();
        let life = self.instances[node].life;
        self.note_keys(&body);
        self.appends.push(Append {
            node,
            life,
            ticket,
            body,
            reply: fate.reply,
            landed: None,
        });
        if let Some(effect) = fate.effect {
            self.at(effect, Event::Land(index));
        }
        self.at(
            fate.answer,
            Event::At(node, Some(life), Local::Appended(index)),
        );
    }

    fn note_keys(&mut self, body: &[u8]) {
        for item in batch::decode(body).unwrap_or_default() {
            if let Item::Claim(record) = item {
                self.callers.note(record.id, record.key);
            }
        }
    }

    pub(super) fn land(&mut self, index: usize) {
        let body = self.appends[index].body.clone();
        let landed = self.log.land(self.now, body);
        self.appends[index].landed = Some(landed);
    }

    pub(super) fn appended(&mut self, node: Node, index: usize) {
        let now = self.clock(node);
        if self.weakness == Weakness::LostMeansDone && self.appends[index].reply == Reply::Lost {
            self.answer_all(index);
        }
        let append = &self.appends[index];
        debug_assert_eq!(
            (append.node, append.life),
            (node, self.instances[node].life)
        );
        let Some(seat) = self.instances[node].seat.as_mut() else {
            return;
        };
        match (append.reply, append.landed) {
            (Reply::Done, Some((offset, time))) => seat.appended(now, append.ticket, offset, time),
            (Reply::NotDone, _) => {
                seat.append_failed(now, append.ticket, AppendFailure::NotApplied);
            }
            _ => seat.append_failed(now, append.ticket, AppendFailure::Unknown),
        }
        self.drive(node);
    }

    fn answer_all(&mut self, index: usize) {
        let items = batch::decode(&self.appends[index].body).unwrap_or_default();
        for item in items {
            if let Item::Claim(record) = item {
                self.answer(record.id, Verdict::Claimed);
            }
        }
    }

    pub(super) fn serve(&mut self, node: Node, life: Life, from: Offset, limit: usize) {
        let mut page = self.log.read(self.now, from, limit, &mut self.rng);
        if self.weakness == Weakness::TruncationUnseen {
            page = page.map(|page| pad(from, page));
        }
        let way = self.log.way(&mut self.rng);
        self.after(way, Event::At(node, Some(life), Local::Page(page)));
    }

    pub(super) fn page(&mut self, node: Node, page: Option<Page>) {
        let now = self.clock(node);
        let Some(seat) = self.instances[node].seat.as_mut() else {
            return;
        };
        match page {
            Some(page) => seat.page(now, &page),
            None => seat.read_failed(now),
        }
        self.drive(node);
    }
}

// A page as a reader sees it that takes lost records for empty ones.
fn pad(from: Offset, mut page: Page) -> Page {
    let lost = from..page.first;
    let empty = lost.map(|offset| StoredRecord {
        offset,
        time: Moment::ZERO,
        body: Vec::new(),
    });
    page.records.splice(0..0, empty);
    page.first = 0;
    page
}
