//! The properties of a request that decisions depend on.

use serde::{Deserialize, Serialize};

use crate::clock::Moment;
use crate::id::{
    BodyDigest, ChatId, ClassId, KeyDigest, ModelId, RequestId, ServiceId, Version, WorkspaceId,
};

/// A request without its body, resolved under one bundle version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its id, chosen by the entry instance.
    pub id: RequestId,
    /// The bundle version it is handled under from start to end.
    pub version: Version,
    /// The workspace that pays for it.
    pub workspace: WorkspaceId,
    /// The service that its path routes to.
    pub service: ServiceId,
    /// The model it requests.
    pub model: ModelId,
    /// Its class, set by the route or the caller.
    pub class: ClassId,
    /// The chat it continues; for plain services a random one.
    pub chat: ChatId,
    /// Number of prompt tokens, estimated from the size of the body.
    pub prompt_tokens: u32,
    /// Number of output tokens, from the caller's limit or the model's default.
    pub answer_tokens: u32,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// The claim it needs before it may be dispatched; `None` if repeatable.
    pub key: Option<KeyDigest>,
    /// The digest of its method, path and body.
    pub digest: BodyDigest,
}

impl Request {
    /// Returns whether it may safely run twice.
    #[must_use]
    pub const fn repeatable(&self) -> bool {
        self.key.is_none()
    }

    /// Returns its estimated work in tokens, not counting `cached` prompt tokens.
    #[must_use]
    pub fn work(&self, cached: u32) -> u64 {
        u64::from(self.prompt_tokens.saturating_sub(cached)) + u64::from(self.answer_tokens)
    }
}
