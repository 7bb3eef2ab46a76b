//! Records histories of concurrent runs and checks them.
//!
//! Callers, routers, endpoints and the log of a run record their actions with
//! a [`recorder::Recorder`], which places every [`event::Event`] in one total
//! order. After the run, [`check::all`] reads the history, checks each of the
//! router's guarantees and reports every violation with the events that show
//! it.
//!
//! *Before* and *after* mean the order in which events were recorded, so a
//! result does not depend on the speed of the machine. Recording follows two
//! rules. A possible cause is recorded before the action: a caller records that
//! it sends, then sends. An effect is recorded once it is observed. A cause
//! therefore always precedes its effects, however the threads interleave.

pub mod check;
pub mod event;
pub mod file;
pub mod history;
pub mod recorder;

#[cfg(test)]
mod script;
