//! meadowrill's core: [`router`] decides, [`interface`] is what it is told and what it answers, [`host`] what its
//! hosts share.

pub mod host;
pub mod interface;
mod room;
pub mod router;
mod state;
