//! The memory for the input of all clients. Frames that clients do not complete, or complete slowly, would otherwise use
//! the memory that the requests and responses of other clients need.
//!
//! Every connection may hold as much input as an idle one. Beyond that the buffers grow only while their total is below
//! the limit. Above the limit the frames that have made no progress for longest are discarded with their connections,
//! and connections whose buffer has to grow are read again once there is room.

use super::{ClientEvent, Clients};
use crate::buffer::BufferMemory;
use crate::frame::FrameError;
use crate::net::Poll;
use meadowrill_routing::interface::Micros;
use std::collections::BTreeSet;

/// The part of the memory of all buffers that the input of clients may use.
const SHARE_OF_BUFFERS: usize = 3;

/// The limit on the memory for the input of clients, and the connections that wait for it.
pub(crate) struct InputMemory {
    memory: BufferMemory,
    /// In bytes.
    limit: usize,
    waiting: BTreeSet<u64>,
}

impl InputMemory {
    /// `memory` is that of the clients' input buffers, and `max_buffer_bytes` the limit for all buffers.
    pub(crate) fn new(memory: BufferMemory, max_buffer_bytes: usize) -> InputMemory {
        InputMemory {
            memory,
            limit: max_buffer_bytes / SHARE_OF_BUFFERS,
            waiting: BTreeSet::new(),
        }
    }

    /// Whether a buffer may grow.
    pub(super) fn has_room(&self) -> bool {
        self.memory.group_bytes() < self.limit
    }

    /// Records that a connection is not read further until there is room.
    pub(super) fn wait(&mut self, number: u64) {
        self.waiting.insert(number);
    }

    /// Whether connections waited and can be read again.
    pub(super) fn has_resumable(&self) -> bool {
        !self.waiting.is_empty() && self.has_room()
    }

    /// Takes the connections that waited, if there is room now.
    pub(super) fn take_resumable(&mut self) -> BTreeSet<u64> {
        if self.has_room() {
            std::mem::take(&mut self.waiting)
        } else {
            BTreeSet::new()
        }
    }
}

impl Clients {
    /// While the input of the clients has no room, stops reading connections whose frame has stalled, the longest first.
    pub(super) fn reclaim_input_memory(&mut self, now: Micros, poll: &Poll) {
        while !self.input_memory.has_room() {
            let connections = self.connections.iter();
            let stalled = connections
                .filter_map(|(number, client)| Some((client.stalled_frame_since(now)?, *number)));
            let Some((_, number)) = stalled.min() else {
                return;
            };
            self.stop_incomplete(number, now, poll);
        }
    }

    /// Reports the frame that a connection has not completed, and reads no more from it.
    pub(super) fn stop_incomplete(&mut self, number: u64, now: Micros, poll: &Poll) {
        let Some(client) = self.connections.get_mut(&number) else {
            return;
        };
        self.events.push(ClientEvent::BadFrame {
            client: number,
            error: FrameError::Incomplete,
        });
        let result = client.stop_reading();
        self.finish_step(number, result, now, poll);
    }
}
