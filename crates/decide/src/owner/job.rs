//! A request as its owner stores it while it waits or runs.

use godwitpost_types::clock::Moment;
use godwitpost_types::id::{BodyDigest, ChatId, EndpointId, InstanceId};
use godwitpost_types::policy::Policy;
use godwitpost_types::request::Request;

use crate::chats::Location;
use crate::hop::Hop;
use crate::quarantine;
use crate::queue::{Flow, Rank};
use crate::refusal::Reason;
use crate::view::Pool;

/// Where a chat's context is probably cached.
#[derive(Clone, Copy, Debug)]
pub struct CacheHint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Prompt tokens estimated to be cached there; may be zero.
    pub tokens: u32,
    /// When the chat last ran there.
    pub seen: Moment,
}

impl From<&Location> for CacheHint {
    fn from(location: &Location) -> Self {
        Self {
            endpoint: location.endpoint,
            tokens: location.tokens,
            seen: location.seen,
        }
    }
}

/// A request as its owner stores it while it waits or runs.
#[derive(Clone, Debug)]
pub struct Job {
    /// The endpoints that can run it.
    pub pool: Pool,
    /// The chat it belongs to.
    pub chat: ChatId,
    /// The digest that identifies it in evidence.
    pub digest: BodyDigest,
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Tokens expected in the answer.
    pub answer_tokens: u32,
    /// How many requests one endpoint of the service runs at once.
    pub slots: u32,
    /// The configured load bound, as a multiple of the mean load.
    pub load_bound: f64,
    /// The weight of cache reuse against an even load.
    pub reuse: f64,
    /// Its position parameters in the queue.
    pub rank: Rank,
    /// Whether requests of its class may wait.
    pub may_queue: bool,
    /// The owner of the chat's home endpoint, if that is another instance.
    pub home: Option<InstanceId>,
    /// When it started to wait; zero if it has not waited.
    pub waiting_since: Moment,
    /// Whether it must run alone because it may crash endpoints.
    pub suspect: bool,
    /// Where the chat is cached, with the tokens estimated to be cached there.
    pub warm: Option<CacheHint>,
}

impl Job {
    /// Resolves a request under a policy.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal if the policy lacks what the request
    /// names.
    pub fn new(policy: &Policy, request: &Request, hop: &Hop) -> Result<Self, Reason> {
        let service = policy.services.get(&request.service);
        let service = service.ok_or(Reason::UnknownService)?;
        let workspace = policy.workspaces.get(&request.workspace);
        let workspace = workspace.ok_or(Reason::UnknownWorkspace)?;
        let class = policy.classes.get(&request.class);
        let class = class.ok_or(Reason::UnknownService)?;
        let flow = Flow {
            workspace: request.workspace,
            class: request.class,
        };
        Ok(Self {
            pool: Pool::for_request(request),
            chat: request.chat,
            digest: quarantine::identity_of(request),
            prompt_tokens: request.prompt_tokens,
            answer_tokens: request.answer_tokens,
            slots: service.slots,
            load_bound: service.load_bound,
            reuse: service.reuse,
            rank: Rank {
                priority: class.priority,
                flow,
                weight: workspace.weight * class.weight,
                work: request.work(0),
                deadline: request.deadline,
            },
            may_queue: class.queue,
            home: hop.home,
            waiting_since: Moment::ZERO,
            suspect: false,
            warm: (hop.cached > 0).then_some(CacheHint {
                endpoint: hop.endpoint,
                tokens: hop.cached,
                seen: hop.seen,
            }),
        })
    }

    /// Returns the prompt tokens estimated to be cached at an endpoint.
    #[must_use]
    pub fn cached(&self, endpoint: EndpointId) -> u32 {
        match self.warm {
            Some(warm) if warm.endpoint == endpoint => warm.tokens.min(self.prompt_tokens),
            _ => 0,
        }
    }

    /// Returns whether nothing of it is cached at an endpoint and it has not
    /// yet looked for a better one.
    #[must_use]
    pub fn should_try_elsewhere(&self, endpoint: EndpointId) -> bool {
        self.cached(endpoint) == 0 && self.waiting_since == Moment::ZERO
    }

    /// Returns the estimated work at an endpoint, in tokens.
    #[must_use]
    pub fn work(&self, endpoint: EndpointId) -> u64 {
        u64::from(self.prompt_tokens - self.cached(endpoint)) + u64::from(self.answer_tokens)
    }
}
