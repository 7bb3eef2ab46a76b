//! What an instance observed of an endpoint that changes its health.

/// An observation, as logs and metrics show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Observation {
    /// responded
    Responded,
    /// no-connection
    NoConnection,
    /// no-acknowledgement
    NoAcknowledgement,
    /// late-head
    LateHead,
    /// broken-response
    BrokenResponse,
    /// refuses-after-break
    RefusesAfterBreak,
    /// other-server
    OtherServer,
    /// reached-by-others
    ReachedByOthers,
    /// pause-over
    PauseOver,
}
