//! The verdict on a run, by the order of its events.

use godwitpost_history::check::{self, Breach, Limits, Violation, load};
use godwitpost_history::event::{Event, What};
use godwitpost_history::history::{self, History};

use crate::{faults, figures};

/// Returns the bound on an engine's work that a live run is held to.
///
/// Routers don't apply the multiple to a mean of less than four requests'
/// work. Right after a stop or a kill the next owner knows what the last one
/// left running only from the engine's report, so for that time an engine may
/// carry the floor twice.
#[must_use]
pub fn bound(factor: f64, events: &[Event]) -> load::Limit {
    const FLOOR_REQUESTS: f64 = 4.0;
    const OWNERS: f64 = 2.0;
    let each = figures::mean_work(events, "drafting");
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few thousand tokens"
    )]
    let floor = (OWNERS * factor * FLOOR_REQUESTS * each) as u64;
    load::Limit {
        service: "drafting".to_owned(),
        factor,
        floor,
    }
}

/// Judges a history of a live run; `poisoned` if one request crashes engines.
///
/// # Errors
///
/// Returns [`history::Error`] if the history contradicts itself.
pub fn violations(
    events: &[Event],
    load: load::Limit,
    poisoned: bool,
) -> Result<Vec<String>, history::Error> {
    let history = History::new(events)?;
    let found = check::all(&history, &Limits::live(vec![load]));
    let mut violations: Vec<String> = found.iter().map(Violation::<Breach>::to_string).collect();
    if poisoned {
        violations.extend(too_many_lost(events));
    }
    Ok(violations)
}

// Nothing else takes engines down in the demo.
fn too_many_lost(events: &[Event]) -> Option<String> {
    let lost = |event: &&Event| matches!(event.what, What::EndpointLost { .. });
    let lost = events.iter().filter(lost).count();
    let most = faults::MOST_LOST;
    (lost > most).then(|| format!("poison: one request took {lost} engines down, above {most}"))
}
