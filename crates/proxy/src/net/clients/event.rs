//! What the loop learns of clients, and reuse of the allocations of requests.

use crate::frame::{FrameError, Request};
use std::collections::VecDeque;
use std::net::IpAddr;

/// Allocations of requests that are kept for reuse.
const MAX_SPARE_REQUESTS: usize = 256;

/// What has happened on a client's connection. `id` is the id of the request within this process.
pub(crate) enum ClientEvent {
    RequestReceived {
        id: u32,
        /// Number of the connection.
        client: u64,
        address: IpAddr,
        stream: u32,
        request: Box<Request>,
    },
    /// Nobody waits for the response any more.
    Cancelled { id: u32 },
    /// The client has ended its side: no attempt is to begin any more, while those in flight may find it still reading.
    HalfClosed { id: u32 },
    /// For the log.
    BadFrame { client: u64, error: FrameError },
}

/// Allocations of requests that are over, for those to come.
#[derive(Default)]
pub(super) struct RequestPool(VecDeque<Box<Request>>);

impl RequestPool {
    pub(super) fn give(&mut self, request: Box<Request>) {
        if self.0.len() < MAX_SPARE_REQUESTS {
            self.0.push_back(request);
        }
    }

    pub(super) fn place(&mut self, request: Request) -> Box<Request> {
        match self.0.pop_back() {
            Some(mut place) => {
                *place = request;
                place
            }
            None => Box::new(request),
        }
    }
}
