//! The tenant and client of a request. The tenant is found by a field of the request or by the longest matching
//! network, and the client by address, connection or field. Names are resolved here; the other modules use indices and
//! hashes.

use crate::config::{AdmissionConfig, ClientKey};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use meadowrill_routing::host::stable_id;
use prefix_trie::PrefixMap;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::IpAddr;

/// Index of the default tenant in the configuration.
const DEFAULT_TENANT: u16 = 0;

/// The tenant by its index in the configuration, and the client by a hash of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientIdentity {
    /// Index of the tenant in the configuration.
    pub tenant: u16,
    /// Salted hash of the key that identifies the client.
    pub client: u64,
    /// Number of the connection. Connections opened later have greater numbers.
    pub connection: u64,
    /// Address of the peer, which is only shown to operators.
    pub address: IpAddr,
}

/// What the host knows about the sender of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestOrigin<'a> {
    /// Address of the peer.
    pub address: IpAddr,
    /// Number of the connection. Connections opened later have greater numbers.
    pub connection: u64,
    /// Value of the tenant field of the request.
    pub tenant_field: Option<&'a str>,
    /// Value of the client field of the request.
    pub client_field: Option<&'a str>,
}

/// Tags that are hashed before the client's key, so that equal values of different kinds of keys have different hashes.
const ADDRESS_TAG: u8 = 0;
const CONNECTION_TAG: u8 = 1;
const FIELD_TAG: u8 = 2;

/// Resolves the origin of a request to its tenant and client.
pub struct IdentityResolver {
    ipv4_networks: PrefixMap<Ipv4Net, u16>,
    ipv6_networks: PrefixMap<Ipv6Net, u16>,
    field_values: BTreeMap<String, u16>,
    client_key: ClientKey,
    /// Hash of each tenant's name. It does not change while a tenant keeps its name across configurations.
    tenant_hashes: Vec<u64>,
    seed: u64,
}

impl IdentityResolver {
    /// Creates a resolver for the tenants of `config`.
    pub fn new(config: &AdmissionConfig, seed: u64) -> IdentityResolver {
        let mut resolver = IdentityResolver {
            ipv4_networks: PrefixMap::new(),
            ipv6_networks: PrefixMap::new(),
            field_values: BTreeMap::new(),
            client_key: config.client_key.clone(),
            tenant_hashes: config
                .tenants
                .iter()
                .map(|tenant| stable_id(&tenant.name))
                .collect(),
            seed,
        };
        for (index, tenant) in (0u16..).zip(&config.tenants) {
            tenant
                .networks
                .iter()
                .for_each(|network| resolver.add_network(*network, index));
            resolver
                .field_values
                .extend(tenant.values.iter().map(|value| (value.clone(), index)));
        }
        resolver
    }

    fn add_network(&mut self, network: IpNet, tenant: u16) {
        match network.trunc() {
            IpNet::V4(network) => drop(self.ipv4_networks.insert(network, tenant)),
            IpNet::V6(network) => drop(self.ipv6_networks.insert(network, tenant)),
        }
    }

    /// Resolves the tenant and client of a request. For an unknown value of the tenant field, the network decides, so a
    /// client cannot leave its tenant by sending an invented value.
    pub fn resolve(&self, origin: RequestOrigin<'_>) -> ClientIdentity {
        // An IPv4-mapped IPv6 address belongs to the network of the IPv4 address.
        let address = origin.address.to_canonical();
        let by_field = origin
            .tenant_field
            .and_then(|value| self.field_values.get(value).copied());
        let tenant = by_field
            .or_else(|| self.tenant_of_network(address))
            .unwrap_or(DEFAULT_TENANT);
        let client = self.client_hash(tenant, address, origin);
        ClientIdentity {
            tenant,
            client,
            connection: origin.connection,
            address,
        }
    }

    fn tenant_of_network(&self, address: IpAddr) -> Option<u16> {
        match address {
            IpAddr::V4(address) => self
                .ipv4_networks
                .get_lpm(&Ipv4Net::from(address))
                .map(|(_, index)| *index),
            IpAddr::V6(address) => self
                .ipv6_networks
                .get_lpm(&Ipv6Net::from(address))
                .map(|(_, index)| *index),
        }
    }

    fn client_hash(&self, tenant: u16, address: IpAddr, origin: RequestOrigin<'_>) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, self.tenant_hashes[usize::from(tenant)]).hash(&mut hasher);
        match (&self.client_key, origin.client_field) {
            (ClientKey::Connection, _) => (CONNECTION_TAG, origin.connection).hash(&mut hasher),
            (ClientKey::Field(_), Some(value)) => (FIELD_TAG, value).hash(&mut hasher),
            _ => (ADDRESS_TAG, address).hash(&mut hasher),
        }
        hasher.finish()
    }
}

#[cfg(test)]
mod tests;
