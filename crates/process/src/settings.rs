//! Reading a YAML settings file so that all of its mistakes are found at once.
//!
//! [`node`] is the file as a tree with lines; [`low`] takes checked values out
//! of it and collects what is wrong.

pub mod low;
pub mod node;
