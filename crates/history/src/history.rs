//! A well-formed history with the indexes that the checks use.
//!
//! A checker that skipped events it doesn't understand would accept a broken
//! recording. A history with contradictory events is therefore rejected as a
//! whole: the fault lies with the code that recorded it.

use std::collections::BTreeMap;

use displaydoc::Display;

use crate::event::{CallId, Dispatch, Event, Got, Name, Run, RunEnd, RunId, Sent, What};

#[cfg(test)]
mod tests;

/// A contradiction between the events of a history.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// event {order} follows event {before}: sort the events by order number and remove duplicates
    Unordered {
        /// The event's order number.
        order: u64,
        /// The order number of the event before it.
        before: u64,
    },
    /// event {order} sends or ends call {call} a second time: give each call a unique id
    DuplicateCall {
        /// The event's order number.
        order: u64,
        /// The call.
        call: CallId,
    },
    /// event {order} ends call {call}, which was not sent before: record a call before sending it
    UnknownCall {
        /// The event's order number.
        order: u64,
        /// The call.
        call: CallId,
    },
    /// event {order} starts or ends run {run} a second time: give each run a unique id
    DuplicateRun {
        /// The event's order number.
        order: u64,
        /// The run.
        run: RunId,
    },
    /// event {order} ends run {run}, which was not started before: record a run before it starts
    UnknownRun {
        /// The event's order number.
        order: u64,
        /// The run.
        run: RunId,
    },
}

impl std::error::Error for Error {}

/// A call with the event that sent it and, once it ended, the event that ended it.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The event that sent it.
    pub sent_event: &'a Event,
    /// The request as sent.
    pub sent: &'a Sent,
    /// The event that ended it, and the result that the caller saw.
    pub got: Option<(&'a Event, &'a Got)>,
}

/// A run with the event that started it and, once it ended, the event that ended it.
#[derive(Clone, Copy, Debug)]
pub struct Execution<'a> {
    /// The event that started it.
    pub started_event: &'a Event,
    /// The run as started.
    pub started: &'a Run,
    /// The event that ended it, and how it ended.
    pub ended: Option<(&'a Event, &'a RunEnd)>,
}

/// A well-formed history, indexed by call, run and job.
#[derive(Clone, Debug)]
pub struct History<'a> {
    events: &'a [Event],
    calls: BTreeMap<CallId, Call<'a>>,
    runs: BTreeMap<RunId, Execution<'a>>,
    runs_by_call: BTreeMap<CallId, Vec<RunId>>,
    answer_cuts: BTreeMap<RunId, &'a Event>,
    calls_by_job: BTreeMap<(&'a str, &'a str), Vec<CallId>>,
    dispatches_by_call: BTreeMap<CallId, Vec<&'a Dispatch>>,
}

impl<'a> History<'a> {
    /// Validates and indexes events.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] for the first event that contradicts the ones before it.
    pub fn new(events: &'a [Event]) -> Result<Self, Error> {
        check_order(events)?;
        let mut history = Self {
            events,
            calls: BTreeMap::new(),
            runs: BTreeMap::new(),
            runs_by_call: BTreeMap::new(),
            answer_cuts: BTreeMap::new(),
            calls_by_job: BTreeMap::new(),
            dispatches_by_call: BTreeMap::new(),
        };
        for event in events {
            history.index_event(event)?;
        }
        Ok(history)
    }

    /// Returns all events in order.
    #[must_use]
    pub const fn events(&self) -> &'a [Event] {
        self.events
    }

    /// Returns all calls, sorted by id.
    pub fn calls(&self) -> impl Iterator<Item = &Call<'a>> {
        self.calls.values()
    }

    /// Returns the call with this id, if it was sent.
    #[must_use]
    pub fn call(&self, call: CallId) -> Option<&Call<'a>> {
        self.calls.get(&call)
    }

    /// Returns all runs, sorted by id.
    pub fn runs(&self) -> impl Iterator<Item = &Execution<'a>> {
        self.runs.values()
    }

    /// Returns the run with this id, if it started.
    #[must_use]
    pub fn run(&self, run: RunId) -> Option<&Execution<'a>> {
        self.runs.get(&run)
    }

    /// Returns the runs that endpoints started for a call.
    pub fn runs_of_call(&self, call: CallId) -> impl Iterator<Item = &Execution<'a>> {
        let ids = self.runs_by_call.get(&call).into_iter().flatten();
        ids.filter_map(|id| self.runs.get(id))
    }

    /// Returns the calls for the same job as `sent`, including `sent` itself.
    #[must_use]
    pub fn calls_of_job(&self, sent: &Sent) -> Vec<&Call<'a>> {
        let job = (sent.workspace.as_str(), sent.job.as_str());
        let ids = self.calls_by_job.get(&job).into_iter().flatten();
        ids.filter_map(|id| self.calls.get(id)).collect()
    }

    /// Returns the runs that count as runs of `sent`.
    ///
    /// An unrepeatable job may run at most once however often it is sent, so
    /// the runs of all its calls count. For a repeatable job only the runs of
    /// this call count.
    #[must_use]
    pub fn runs_attributed_to(&self, sent: &Sent) -> Vec<&Execution<'a>> {
        if !sent.unrepeatable {
            return self.runs_of_call(sent.call).collect();
        }
        self.calls_of_job(sent)
            .into_iter()
            .flat_map(|call| self.runs_of_call(call.sent.call))
            .collect()
    }

    /// Returns the last kill of `instance` that can have affected a call that
    /// lasted from `from` to `to` (order numbers).
    ///
    /// A kill does not count if the instance started again before `from`.
    #[must_use]
    pub fn find_kill(&self, instance: &str, from: u64, to: u64) -> Option<&'a Event> {
        let mut kill = None;
        for event in self.events_until(to) {
            match &event.what {
                What::InstanceKilled { instance: name } if name == instance => kill = Some(event),
                What::InstanceStarted { instance: name }
                    if name == instance && event.order < from =>
                {
                    kill = None;
                }
                _ => {}
            }
        }
        kill
    }

    /// Returns the first event in which a fault at the endpoint cut off the
    /// answer of `run`, if there is one.
    #[must_use]
    pub fn find_answer_cut(&self, run: RunId) -> Option<&'a Event> {
        self.answer_cuts.get(&run).copied()
    }

    /// Returns the first event after `from` and up to `to` (order numbers) in
    /// which `endpoint` was lost, if there is one.
    #[must_use]
    pub fn find_endpoint_loss(&self, endpoint: &str, from: u64, to: u64) -> Option<&'a Event> {
        self.events_until(to).find(|event| {
            let lost = matches!(&event.what, What::EndpointLost { endpoint: name, .. } if name == endpoint);
            lost && event.order > from
        })
    }

    /// Returns the instances on the path of a call, starting with its entry instance.
    #[must_use]
    pub fn path(&self, call: &Call<'a>) -> Vec<&'a Name> {
        let dispatches = self.dispatches_by_call.get(&call.sent.call);
        let dispatches = dispatches.into_iter().flatten();
        let mut path = vec![&call.sent.instance];
        path.extend(dispatches.map(|dispatch| &dispatch.instance));
        path
    }

    fn events_until(&self, order: u64) -> impl Iterator<Item = &'a Event> {
        self.events
            .iter()
            .take_while(move |event| event.order <= order)
    }

    fn index_event(&mut self, event: &'a Event) -> Result<(), Error> {
        match &event.what {
            What::CallerSent(sent) => self.index_sent(event, sent),
            What::CallerGot(got) => self.index_got(event, got),
            What::RunStarted(run) => self.index_started(event, run),
            What::RunEnded(end) => self.index_ended(event, end),
            What::AnswerCut { run } => {
                self.answer_cuts.entry(*run).or_insert(event);
                Ok(())
            }
            What::Dispatched(dispatch) => {
                let dispatches = self.dispatches_by_call.entry(dispatch.call);
                dispatches.or_default().push(dispatch);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn index_sent(&mut self, event: &'a Event, sent: &'a Sent) -> Result<(), Error> {
        let call = Call {
            sent_event: event,
            sent,
            got: None,
        };
        if self.calls.insert(sent.call, call).is_some() {
            return Err(Error::DuplicateCall {
                order: event.order,
                call: sent.call,
            });
        }
        let job = (sent.workspace.as_str(), sent.job.as_str());
        self.calls_by_job.entry(job).or_default().push(sent.call);
        Ok(())
    }

    fn index_got(&mut self, event: &'a Event, got: &'a Got) -> Result<(), Error> {
        let (order, call) = (event.order, got.call);
        let open = self
            .calls
            .get_mut(&call)
            .ok_or(Error::UnknownCall { order, call })?;
        if open.got.replace((event, got)).is_some() {
            return Err(Error::DuplicateCall { order, call });
        }
        Ok(())
    }

    fn index_started(&mut self, event: &'a Event, started: &'a Run) -> Result<(), Error> {
        let run = started.run;
        let execution = Execution {
            started_event: event,
            started,
            ended: None,
        };
        if self.runs.insert(run, execution).is_some() {
            return Err(Error::DuplicateRun {
                order: event.order,
                run,
            });
        }
        self.runs_by_call.entry(started.call).or_default().push(run);
        Ok(())
    }

    fn index_ended(&mut self, event: &'a Event, end: &'a RunEnd) -> Result<(), Error> {
        let (order, run) = (event.order, end.run);
        let open = self
            .runs
            .get_mut(&run)
            .ok_or(Error::UnknownRun { order, run })?;
        if open.ended.replace((event, end)).is_some() {
            return Err(Error::DuplicateRun { order, run });
        }
        Ok(())
    }
}

fn check_order(events: &[Event]) -> Result<(), Error> {
    for pair in events.windows(2) {
        let (before, order) = (pair[0].order, pair[1].order);
        if order <= before {
            return Err(Error::Unordered { order, before });
        }
    }
    Ok(())
}
