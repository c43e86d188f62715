//! The endpoints that discovery has listed: the index by which the router knows each, its id and its address.

use compact_str::CompactString;
use meadowrill_routing::host::EndpointIndices;
use meadowrill_routing::interface::EndpointIndex;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Where an endpoint is reached.
pub(super) struct EndpointAddress {
    pub(super) socket: SocketAddr,
    /// The same as requests carry it in their head.
    pub(super) host: CompactString,
}

/// Endpoints by index. An index lives from when its endpoint is first listed until the router releases it.
#[derive(Default)]
pub(super) struct EndpointDirectory {
    indices: EndpointIndices<String>,
    addresses: HashMap<EndpointIndex, EndpointAddress>,
}

impl EndpointDirectory {
    /// The index of an endpoint; a new one where it has none.
    pub(super) fn get_or_insert(&mut self, id: &String) -> EndpointIndex {
        self.indices.get_or_insert(id)
    }

    pub(super) fn index(&self, id: &String) -> Option<EndpointIndex> {
        self.indices.get(id)
    }

    pub(super) fn id(&self, endpoint: EndpointIndex) -> &str {
        self.indices.name(endpoint)
    }

    pub(super) fn set_address(&mut self, endpoint: EndpointIndex, socket: SocketAddr) {
        let host = CompactString::from(socket.to_string());
        self.addresses
            .insert(endpoint, EndpointAddress { socket, host });
    }

    pub(super) fn address(&self, endpoint: EndpointIndex) -> Option<&EndpointAddress> {
        self.addresses.get(&endpoint)
    }

    /// Forgets an endpoint and frees its index.
    pub(super) fn release(&mut self, endpoint: EndpointIndex) {
        self.addresses.remove(&endpoint);
        self.indices.release(endpoint);
    }
}
