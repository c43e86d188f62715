//! meadowrill's core: [`router`] decides, [`interface`] is what it is told and what it answers, [`host`] what its
//! hosts share.

#![allow(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not reached yet by the pass over names, sizes and docs"
)]

pub mod host;
pub mod interface;
mod room;
pub mod router;
mod state;
