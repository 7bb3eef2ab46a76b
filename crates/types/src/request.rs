//! The facts about a request that decisions are taken on.

use serde::{Deserialize, Serialize};

use crate::clock::Moment;
use crate::id::{
    BodyDigest, ChatId, ClassId, KeyDigest, ModelId, RequestId, ServiceId, Version, WorkspaceId,
};

/// A request without its body, resolved under one bundle version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its id, drawn by the entry instance.
    pub id: RequestId,
    /// The bundle version it is handled under from start to end.
    pub version: Version,
    /// Who pays for it.
    pub workspace: WorkspaceId,
    /// The service that its path routes to.
    pub service: ServiceId,
    /// The model it asks for.
    pub model: ModelId,
    /// Its class, which the route or the caller names.
    pub class: ClassId,
    /// The chat it continues; for plain services a random one.
    pub chat: ChatId,
    /// Tokens of prompt, estimated from the body's size.
    pub prompt_tokens: u32,
    /// Tokens of answer, from the caller's limit or the model's default.
    pub answer_tokens: u32,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// The claim it needs before it may be dispatched; `None` if repeatable.
    pub key: Option<KeyDigest>,
    /// The digest of its method, path and body.
    pub digest: BodyDigest,
}

impl Request {
    /// Returns whether running it twice does no harm.
    #[must_use]
    pub const fn repeatable(&self) -> bool {
        self.key.is_none()
    }

    /// Returns its estimated work in tokens with `cached` prompt tokens off.
    #[must_use]
    pub fn work(&self, cached: u32) -> u64 {
        u64::from(self.prompt_tokens.saturating_sub(cached)) + u64::from(self.answer_tokens)
    }
}
