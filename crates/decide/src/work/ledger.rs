//! This instance's requests in flight at endpoints.

use std::collections::BTreeMap;
use std::ops::{Add, Mul};

use godwitpost_types::id::EndpointId;

use super::{MAX_REQUESTS, MAX_TOKENS, bounded};
use crate::cost::{Class, Stated, Tokens};

/// Identifies a request in flight; unique in its ledger.
pub type Request = u64;

/// What a request asks of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// The prompt tokens to prefill, that is, those that the endpoint isn't
    /// expected to have cached.
    pub read: f64,
    /// The prompt tokens.
    pub prompt: f64,
    /// Its class.
    pub class: Class,
    /// What its caller states of the length of its output.
    pub stated: Stated,
}

/// The remaining work of requests, and the memory that they take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The prompt tokens still to prefill.
    pub read_tokens: f64,
    /// The expected output tokens still to write.
    pub write_tokens: f64,
    /// The tokens in memory now: prompts and what was written.
    pub memory_now: f64,
    /// The expected tokens in memory when each request is at its end.
    pub memory_at_end: f64,
    /// The number of requests.
    pub requests: f64,
}

impl Load {
    /// Returns it without figures that can't be right.
    pub(super) fn sanitized(&self) -> Self {
        let max = MAX_TOKENS * MAX_REQUESTS;
        Self {
            read_tokens: bounded(self.read_tokens, max),
            write_tokens: bounded(self.write_tokens, max),
            memory_now: bounded(self.memory_now, max),
            memory_at_end: bounded(self.memory_at_end, max),
            requests: bounded(self.requests, MAX_REQUESTS),
        }
    }
}

impl Add for Load {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            read_tokens: self.read_tokens + rhs.read_tokens,
            write_tokens: self.write_tokens + rhs.write_tokens,
            memory_now: self.memory_now + rhs.memory_now,
            memory_at_end: self.memory_at_end + rhs.memory_at_end,
            requests: self.requests + rhs.requests,
        }
    }
}

impl Mul<f64> for Load {
    type Output = Self;

    fn mul(self, rhs: f64) -> Self {
        Self {
            read_tokens: self.read_tokens * rhs,
            write_tokens: self.write_tokens * rhs,
            memory_now: self.memory_now * rhs,
            memory_at_end: self.memory_at_end * rhs,
            requests: self.requests * rhs,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    demand: Demand,
    written: Tokens,
    prefilled: bool,
}

/// This instance's requests in flight, by endpoint.
///
/// A load is summed anew from the requests of its endpoint. Running sums of
/// fractions would drift, and an instance has few requests at an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    next: Request,
    endpoints: BTreeMap<EndpointId, BTreeMap<Request, Entry>>,
    locations: BTreeMap<Request, EndpointId>,
}

impl Ledger {
    /// Records that a request was sent to an endpoint, and returns its id.
    pub fn start(&mut self, endpoint: EndpointId, demand: Demand) -> Request {
        let request = self.next;
        self.next += 1;
        let entry = Entry {
            demand: sanitized(demand),
            written: 0,
            prefilled: false,
        };
        let requests = self.endpoints.entry(endpoint).or_default();
        requests.insert(request, entry);
        self.locations.insert(request, endpoint);
        request
    }

    /// Records that the first event of a request arrived, so that its prompt
    /// is prefilled.
    pub fn record_first_event(&mut self, request: Request) {
        if let Some(entry) = self.entry(request) {
            entry.prefilled = true;
        }
    }

    /// Records that a request's output is `written` tokens long so far.
    ///
    /// A length below one that was recorded before is ignored.
    pub fn record_written(&mut self, request: Request, written: Tokens) {
        if let Some(entry) = self.entry(request) {
            entry.written = entry.written.max(written);
            entry.prefilled |= written > 0;
        }
    }

    /// Records that a request ended; without effect if it ended before.
    pub fn end(&mut self, request: Request) {
        let Some(endpoint) = self.locations.remove(&request) else {
            return;
        };
        if let Some(requests) = self.endpoints.get_mut(&endpoint) {
            requests.remove(&request);
            if requests.is_empty() {
                self.endpoints.remove(&endpoint);
            }
        }
    }

    /// Records that an endpoint is gone, which ends its requests.
    pub fn remove_endpoint(&mut self, endpoint: EndpointId) {
        for request in self.endpoints.remove(&endpoint).unwrap_or_default().keys() {
            self.locations.remove(request);
        }
    }

    /// Returns the load of this instance's own requests at an endpoint.
    ///
    /// `remaining` returns the expected output still to be written, given the
    /// class of a request, what its caller states and what was written.
    #[must_use]
    pub fn load(
        &self,
        endpoint: EndpointId,
        remaining: impl Fn(Class, Stated, Tokens) -> f64,
    ) -> Load {
        let requests = self.endpoints.get(&endpoint);
        let loads = requests.into_iter().flatten();
        loads
            .map(|(_, entry)| entry.load(&remaining))
            .fold(Load::default(), Add::add)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no request is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    fn entry(&mut self, request: Request) -> Option<&mut Entry> {
        let endpoint = self.locations.get(&request)?;
        self.endpoints.get_mut(endpoint)?.get_mut(&request)
    }
}

impl Entry {
    fn load(&self, remaining: impl Fn(Class, Stated, Tokens) -> f64) -> Load {
        let Demand { class, stated, .. } = self.demand;
        let write_tokens = bounded(remaining(class, stated, self.written), MAX_TOKENS);
        let memory_now = self.demand.prompt + f64::from(self.written);
        Load {
            read_tokens: if self.prefilled {
                0.0
            } else {
                self.demand.read
            },
            write_tokens,
            memory_now,
            memory_at_end: memory_now + write_tokens,
            requests: 1.0,
        }
    }
}

fn sanitized(demand: Demand) -> Demand {
    let prompt = bounded(demand.prompt, MAX_TOKENS);
    Demand {
        read: bounded(demand.read, prompt),
        prompt,
        ..demand
    }
}

#[cfg(test)]
mod tests;
