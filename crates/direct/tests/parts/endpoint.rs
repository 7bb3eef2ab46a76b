//! An endpoint that crashes as it begins to answer some parts of prompts.

use std::collections::BTreeMap;

use godwitpost_types::clock::Moment;
use godwitpost_types::id::EndpointId;

/// Identifies a request of the simulation.
pub(crate) type RequestNumber = u64;

/// One life of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) up: bool,
    /// When its requests began to be answered, for those that have.
    pub(crate) requests: BTreeMap<RequestNumber, Option<Moment>>,
}

impl Endpoint {
    pub(crate) fn start(id: EndpointId) -> Self {
        Self {
            id,
            up: true,
            requests: BTreeMap::new(),
        }
    }

    /// Ends it, and returns the requests that were there.
    pub(crate) fn end(&mut self) -> BTreeMap<RequestNumber, Option<Moment>> {
        self.up = false;
        std::mem::take(&mut self.requests)
    }
}
