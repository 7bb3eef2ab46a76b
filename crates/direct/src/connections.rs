//! This instance's share of the connections that endpoints accept.
//!
//! An endpoint accepts a limited number of connections from all instances together and
//! resets those beyond it. A request that must not run twice is sent on a new connection, as
//! an idle one may be closed already, and leaves it idle. If each instance kept all of them,
//! the idle connections of the fleet alone would use up the limit, and a request whose
//! connection is reset is lost without any indication of whether it ran.

/// The idle connections of all instances together use at most the limit divided by this. The
/// rest is left for requests in flight, of which some instances have more than others.
const IDLE_DIVISOR: u32 = 2;

/// Returns how many idle connections to one endpoint an instance keeps, if the endpoint
/// accepts `limit` from all `instances` together. It is at least one, even where that exceeds
/// the share.
///
/// Returns `None` if `limit` is 0, which stands for no limit.
#[must_use]
pub fn max_idle(limit: u32, instances: u32) -> Option<usize> {
    if limit == 0 {
        return None;
    }
    let share = limit / IDLE_DIVISOR / instances.max(1);
    usize::try_from(share.max(1)).ok()
}

#[cfg(test)]
mod tests;
