//! Events of client connections for the event loop, and reuse of request allocations.

use crate::frame::{FrameError, Request};
use std::collections::VecDeque;
use std::net::IpAddr;

/// Maximum number of request allocations that are kept for reuse.
const MAX_SPARE_REQUESTS: usize = 256;

/// An event on a client connection. `id` is the id of the request within this process.
pub(crate) enum ClientEvent {
    RequestReceived {
        id: u32,
        /// Number of the connection.
        client: u64,
        address: IpAddr,
        stream: u32,
        request: Box<Request>,
    },
    /// The response is no longer wanted.
    Cancelled { id: u32 },
    /// The client has closed its side. No new attempt may begin; the client may still read the responses of attempts in
    /// flight.
    HalfClosed { id: u32 },
    /// A faulty frame, to be logged.
    BadFrame { client: u64, error: FrameError },
}

/// Allocations of finished requests, for reuse by later requests.
#[derive(Default)]
pub(super) struct RequestPool(VecDeque<Box<Request>>);

impl RequestPool {
    pub(super) fn put(&mut self, request: Box<Request>) {
        if self.0.len() < MAX_SPARE_REQUESTS {
            self.0.push_back(request);
        }
    }

    pub(super) fn allocate(&mut self, request: Request) -> Box<Request> {
        match self.0.pop_back() {
            Some(mut allocation) => {
                *allocation = request;
                allocation
            }
            None => Box::new(request),
        }
    }
}
