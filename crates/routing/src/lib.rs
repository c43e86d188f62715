//! meadowrill's core: [`control`] decides, [`interface`] is what it is told and what it answers, [`door`] what its
//! hosts share.

pub mod control;
pub mod door;
pub mod interface;
mod room;
mod state;
