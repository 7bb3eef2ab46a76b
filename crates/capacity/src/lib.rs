//! Slopes of state, messages, processor time and memory.
//!
//! Each role of the fleet is measured at three sizes or more, a line is
//! fitted, and the page says what the line gives at the size of the letter.
//! Nothing on the page is typed by hand but the mechanisms.

pub mod fleet;
pub mod letter;
pub mod live;
pub mod meter;
pub mod page;
pub mod role;
pub mod slope;
