//! Directory of the endpoints that discovery has listed: the index that the router uses, the id and the address.

use compact_str::CompactString;
use meadowrill_routing::host::{stable_id, EndpointIndices};
use meadowrill_routing::interface::EndpointIndex;
use std::collections::HashMap;
use std::net::SocketAddr;

/// The address of an endpoint.
pub(super) struct EndpointAddress {
    pub(super) socket: SocketAddr,
    /// The address as text, for the head of requests.
    pub(super) host: CompactString,
}

impl EndpointAddress {
    /// Identifies the address for the router.
    pub(super) fn stable_id(&self) -> u64 {
        stable_id(&self.host)
    }
}

/// Endpoints by index. An index is valid from the first listing of its endpoint until the router releases it.
#[derive(Default)]
pub(super) struct EndpointDirectory {
    indices: EndpointIndices<String>,
    addresses: HashMap<EndpointIndex, EndpointAddress>,
}

impl EndpointDirectory {
    /// Returns the index of an endpoint, and assigns one if it has none.
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

    /// Removes an endpoint and frees its index.
    pub(super) fn release(&mut self, endpoint: EndpointIndex) {
        self.addresses.remove(&endpoint);
        self.indices.release(endpoint);
    }
}
