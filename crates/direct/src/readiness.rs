//! Whether an instance can serve callers, and what it lacks if it can't.

/// Whether an instance can serve callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub(crate) enum Readiness {
    /// no-configuration
    NoConfiguration,
    /// no-endpoints
    NoEndpoints,
    /// outdated
    Outdated,
    /// draining
    Draining,
    /// ready
    Ready,
}

/// All values, in the order in which a starting instance goes through them.
pub(crate) const ALL: [Readiness; 5] = [
    Readiness::NoConfiguration,
    Readiness::NoEndpoints,
    Readiness::Outdated,
    Readiness::Draining,
    Readiness::Ready,
];
