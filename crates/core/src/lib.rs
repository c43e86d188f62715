//! meadowrill's core: [`control`] decides, [`interface`] is what it is told and what it answers.

pub mod control;
pub mod interface;
mod room;
mod state;
